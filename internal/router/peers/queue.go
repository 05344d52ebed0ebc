package peers

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/mimosalock/mimosalock/internal/router/sched"
)

const (
	// queueInterval is the least time between two reports about waiting calls, except for the
	// first call that waits and the last one that has waited.
	queueInterval = 100 * time.Millisecond
	// queueHeartbeat is the longest time between two reports while calls wait.
	queueHeartbeat      = 500 * time.Millisecond
	queueBytesPerSecond = 1000
	queueBurst          = 2 << 10

	slackUnit = 10 * time.Millisecond // resolution of a reported slack
)

// queueReport tells which calls of the sender wait.
type queueReport struct {
	sender      uint32 // as in loadReport
	incarnation uint16
	sequence    uint32
	queues      map[sched.Key]sched.Queue // by service
}

// queueRounds is the state of the reports about waiting calls.
type queueRounds struct {
	allowance allowance
	sequence  uint32
	last      map[sched.Key]sched.Queue // as last reported
	at        time.Time                 // of the last report
}

func (r queueReport) encode() []byte {
	raw := binary.BigEndian.AppendUint32(nil, r.sender)
	raw = binary.BigEndian.AppendUint16(raw, r.incarnation)
	raw = binary.AppendUvarint(raw, uint64(r.sequence))
	for key, q := range r.queues {
		raw = binary.BigEndian.AppendUint32(raw, uint32(key))
		raw = binary.AppendUvarint(raw, uint64(max(0, q.Calls)))
		raw = binary.AppendVarint(raw, int64(q.Priority))
		raw = binary.AppendVarint(raw, int64(q.Slack/slackUnit))
	}
	return raw
}

var errTruncatedQueue = errors.New("queue report is truncated")

func decodeQueueReport(raw []byte) (queueReport, error) {
	if len(raw) < 6 {
		return queueReport{}, errTruncatedQueue
	}
	r := queueReport{sender: binary.BigEndian.Uint32(raw), incarnation: binary.BigEndian.Uint16(raw[4:]), queues: map[sched.Key]sched.Queue{}}
	sequence, size := binary.Uvarint(raw[6:])
	if size <= 0 {
		return queueReport{}, errTruncatedQueue
	}
	r.sequence = uint32(sequence)
	for raw = raw[6+size:]; len(raw) > 0; {
		if len(raw) < 4 {
			return queueReport{}, errTruncatedQueue
		}
		key := sched.Key(binary.BigEndian.Uint32(raw))
		raw = raw[4:]
		calls, size := binary.Uvarint(raw)
		if size <= 0 || calls > maxReported {
			return queueReport{}, errTruncatedQueue
		}
		raw = raw[size:]
		var n [2]int64
		for i := range n {
			v, size := binary.Varint(raw)
			if size <= 0 || v > maxReported || v < -maxReported {
				return queueReport{}, errTruncatedQueue
			}
			n[i], raw = v, raw[size:]
		}
		r.queues[key] = sched.Queue{Calls: int(calls), Priority: int(n[0]), Slack: time.Duration(n[1]) * slackUnit}
	}
	return r, nil
}

// queuePackets places waiting calls whose turn has come, and returns the report about those
// that still wait if one is due.
func (g *Group) queuePackets(now time.Time) ([]Packet, error) {
	g.cfg.Scheduler.PlaceWaiting(now)
	queues := g.cfg.Scheduler.Queues(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &g.queues
	maySend := r.allowance.refill(now)
	since := now.Sub(r.at)
	changed := (len(queues) == 0) != (len(r.last) == 0)
	due := changed || len(queues) > 0 && (since >= queueHeartbeat || since >= queueInterval && r.differs(now, queues))
	if !due || !maySend {
		return nil, nil
	}
	var to []string
	for address, p := range g.peers {
		if p.partner && now.Sub(p.lastMessage) < silentPartner {
			to = append(to, address)
		}
	}
	r.sequence++
	r.at, r.last = now, queues
	raw, err := msgpack.Marshal(message{Queues: queueReport{senderKey(g.cfg.Address), uint16(g.cfg.Incarnation), r.sequence, queues}.encode()})
	spend(len(raw), len(to), &r.allowance)
	if len(to) > maxSmallFleet { // load reports then come close to the bound of control traffic
		spend(len(raw), len(to), &g.loadAllowance)
	}
	return []Packet{{To: to, Raw: raw}}, err
}

// differs reports whether queues differ from those last reported by more than the time that
// has passed.
func (r *queueRounds) differs(now time.Time, queues map[sched.Key]sched.Queue) bool {
	if len(queues) != len(r.last) {
		return true
	}
	for key, q := range queues {
		old, known := r.last[key]
		drift := (old.Slack - now.Sub(r.at) - q.Slack).Abs()
		if !known || q.Priority != old.Priority || drift > 2*queueInterval {
			return true
		}
	}
	return false
}

// receiveQueues processes a peer's report about its waiting calls.
func (g *Group) receiveQueues(now time.Time, raw []byte) error {
	r, err := decodeQueueReport(raw)
	if err != nil {
		return err
	}
	g.mu.Lock()
	sender := g.senders[r.sender]
	p := g.peers[sender]
	fresh := p != nil && (p.queueIncarnation != r.incarnation || int32(r.sequence-p.queueSequence) > 0)
	if fresh {
		p.queueIncarnation, p.queueSequence = r.incarnation, r.sequence
	}
	g.mu.Unlock()
	if fresh {
		g.cfg.Scheduler.SetPeerQueues(now, sender, r.queues)
	}
	return nil
}
