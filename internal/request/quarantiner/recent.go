package quarantiner

import "sync"

// maxRecent bounds the parts of one generation: those of a minute and more, at 30
// requests a second with two or three new parts each.
const maxRecent = 8192

// recentParts are the prompt parts that were answered last, in two generations: when the
// younger one is full, the older one is dropped.
type recentParts struct {
	mu     sync.Mutex
	recent map[string]bool
	older  map[string]bool
}

// add adds the parts of a prompt.
func (r *recentParts) add(parts []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recent == nil || len(r.recent) >= maxRecent {
		r.recent, r.older = make(map[string]bool), r.recent
	}
	for _, p := range parts {
		r.recent[p] = true
	}
}

// among returns those of the parts that were answered.
func (r *recentParts) among(parts []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var known []string
	for _, p := range parts {
		if r.recent[p] || r.older[p] {
			known = append(known, p)
		}
	}
	return known
}
