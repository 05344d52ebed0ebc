package sched

import (
	"maps"
	"time"

	"github.com/mimosalock/mimosalock/internal/fleet/endpt"
)

// softwareWindow is how long a version of the software counts as serving after its last
// endpoint is gone: callers take up streams that it began, and it may serve on for seconds
// after its entry was removed.
const softwareWindow = 20 * time.Second

// OnlySoftware returns the version of a service's software if there has been no other for
// softwareWindow. ok is false if this process has not followed the registry for so long.
func (s *Scheduler) OnlySoftware(now time.Time, service string) (software string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	software, ok = s.onlyListedSoftware(now, service)
	if !ok || software != "" && now.Sub(s.followedSince) < softwareWindow {
		return "", false
	}
	return software, true
}

// OnlyListedSoftware returns the version of a service's software if this process has known of
// no other for softwareWindow, however long it has followed the registry. Empty versions, of
// registries that tell none, count as one.
func (s *Scheduler) OnlyListedSoftware(now time.Time, service string) (software string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.onlyListedSoftware(now, service)
}

func (s *Scheduler) onlyListedSoftware(now time.Time, service string) (software string, ok bool) {
	found := false
	for _, e := range s.endpoints {
		if e.endpoint.Service != service || e.removed && now.Sub(e.removedAt) > softwareWindow {
			continue
		}
		if found && e.endpoint.Software != software {
			return "", false
		}
		software, found = e.endpoint.Software, true
	}
	for version, until := range s.replacedSoftware[service] {
		if version != software && now.Before(until) {
			return "", false
		}
	}
	return software, found
}

// Listed returns how many endpoints the registry lists.
func (s *Scheduler) Listed() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		if !e.removed {
			n++
		}
	}
	return n
}

// recordReplaced takes note that an endpoint has started anew under its ID.
func (s *Scheduler) recordReplaced(now time.Time, ep endpt.Endpoint) {
	versions := s.replacedSoftware[ep.Service]
	if versions == nil {
		versions = map[string]time.Time{}
		s.replacedSoftware[ep.Service] = versions
	}
	maps.DeleteFunc(versions, func(_ string, until time.Time) bool { return !now.Before(until) })
	versions[ep.Software] = now.Add(softwareWindow)
}
