package runner

import "net/http"

// MisdirectCalls has the target answer calls, other than requests, as another one would.
func (r *Runner) MisdirectCalls(misdirect bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.misdirectsCalls = misdirect
}

// misdirects answers a call as another target would, if it is to, and reports whether it has.
func (r *Runner) misdirects(w http.ResponseWriter) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.misdirectsCalls {
		return false
	}
	w.Header().Set("Instance-Id", "i-other")
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}
