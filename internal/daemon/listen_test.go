package daemon

import (
	"net"
	"syscall"
	"testing"
)

// TestReceiveBuffersAreBounded guards against connections whose received and unread bytes take
// several MB each, which count against the instance's memory.
func TestReceiveBuffersAreBounded(t *testing.T) {
	listeners, err := listenTCP4(listenAddress{"127.0.0.1:0", clientReceiveBuffer})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listeners[0].Close() }()
	client, err := net.Dial("tcp4", listeners[0].Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	conn, err := listeners[0].Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var size int
	if err := raw.Control(func(fd uintptr) {
		size, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF)
	}); err != nil {
		t.Fatal(err)
	}
	if err != nil || size > 2*clientReceiveBuffer { // the system doubles the size for its own use
		t.Errorf("the receive buffer has %d bytes (%v), want at most %d", size, err, 2*clientReceiveBuffer)
	}
}
