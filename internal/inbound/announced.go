package inbound

import (
	"strconv"

	"github.com/valyala/fasthttp"
)

// announcedHeader marks a request whose announced body is too long. A client cannot set it.
const announcedHeader = "Mangodrum-Announced-Length"

// JudgeLength marks a request that announces a body of more than limit bytes, and makes the
// server neither wait for the body nor use the connection again. It is called by
// fasthttp.Server.HeaderReceived, as the server would wait for a part of the body before it
// calls the handler.
func JudgeLength(header *fasthttp.RequestHeader, limit int) {
	header.Del(announcedHeader)
	if length := header.ContentLength(); length > limit {
		header.Set(announcedHeader, strconv.Itoa(length))
		header.SetContentLength(0)
		header.SetConnectionClose()
	}
}

// IsTooLong reports whether JudgeLength has marked a request.
func IsTooLong(header *fasthttp.RequestHeader) bool { return len(header.Peek(announcedHeader)) > 0 }
