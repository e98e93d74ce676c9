package peer

import "math/rand/v2"

// CallIDs issues the identifiers of the calls that one process makes. The upper half
// of an identifier names the process, so that a reply to a call of an earlier process
// of an instance cannot answer a call of the present one. The zero value is ready for
// use. It is not safe for concurrent use.
type CallIDs struct {
	process uint32 // random; 0 until the first call
	last    uint32
}

// Next returns the identifier of the next call.
func (c *CallIDs) Next() uint64 {
	for c.process == 0 {
		c.process = rand.Uint32()
	}
	c.last++
	return uint64(c.process)<<32 | uint64(c.last)
}

// IsOwn reports whether an identifier names a call of this process.
func (c *CallIDs) IsOwn(id uint64) bool { return c.process != 0 && uint32(id>>32) == c.process }
