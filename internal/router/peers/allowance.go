package peers

import "time"

// allowance bounds the bytes that a process spends on one kind of message.
type allowance struct {
	perSecond float64
	burst     float64 // that may be saved up
	left      float64 // that may be spent now, negative after a message larger than that
	at        time.Time
}

// refill adds what has accrued and reports whether anything is left.
func (a *allowance) refill(now time.Time) bool {
	a.left = min(a.burst, a.left+a.perSecond*now.Sub(a.at).Seconds())
	a.at = now
	return a.left > 0
}

// spend takes the bytes of a message to some processes from the allowances.
func spend(bytes, recipients int, from ...*allowance) {
	for _, a := range from {
		a.left -= float64(bytes * recipients)
	}
}
