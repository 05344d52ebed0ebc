package peers

import (
	"strconv"

	"github.com/mimosalock/mimosalock/internal/call/rank"
)

// maxSmallFleet is the number of processes up to which the regions of a fleet exchange
// their loads too. With more, the reports within a region would be late.
const maxSmallFleet = 12

// maxCell is the number of processes up to which a region is one cell. In a cell every
// process tells all others of its load, which takes most of the bytes that a process
// may send to its peers.
const maxCell = 36

// cells divides the processes and the endpoints of a region, so that each process
// knows the whole load of the endpoints of its own cell. Rendezvous hashing assigns
// both: when the number of cells changes, few move.
type cells struct {
	address string // of this process
	count   int
	own     int
	inCell  map[string]bool // cache, by endpoint ID: whether the endpoint is in the own cell
}

// update sets the number of processes in the region.
func (c *cells) update(processes int) {
	count := (processes + maxCell - 1) / maxCell
	if count == c.count {
		return
	}
	c.count, c.inCell = count, map[string]bool{}
	c.own = c.of(c.address)
}

// of returns the cell of a process or an endpoint.
func (c *cells) of(name string) int {
	best, bestScore := 0, uint64(0)
	for i := range c.count {
		if score := rank.Score(strconv.Itoa(i), name); score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// includes reports whether an endpoint is in the own cell.
func (c *cells) includes(id string) bool {
	if c.count <= 1 {
		return true
	}
	in, known := c.inCell[id]
	if !known {
		in = c.of(id) == c.own
		c.inCell[id] = in
	}
	return in
}

// includesProcess reports whether a process of the region is in the own cell.
func (c *cells) includesProcess(address string) bool {
	return c.count <= 1 || c.of(address) == c.own
}
