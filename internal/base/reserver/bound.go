package reserver

// LargestBody returns the size in bytes of the largest request body that a process which
// may use size bytes in all has memory for; 0 means that there is no bound.
func LargestBody(size int64) int64 { return int64(longBodyShare * float64(size)) }
