package poison

import "time"

// maxAnswers is the number of subjects after which the older half of the log is dropped.
const maxAnswers = 4096

// answerLog holds the time of the latest complete answer for each subject, of at least the
// last maxAnswers/2 subjects.
type answerLog struct{ current, previous map[Subject]time.Time }

func (l *answerLog) record(at time.Time, s Subject) {
	if old, ok := l.latest(s); ok && !old.Before(at) {
		return
	}
	if l.current == nil || len(l.current) >= maxAnswers/2 {
		l.previous, l.current = l.current, map[Subject]time.Time{}
	}
	l.current[s] = at
}

// latest returns the time of the latest answer.
func (l *answerLog) latest(s Subject) (time.Time, bool) {
	at, ok := l.current[s]
	if !ok {
		at, ok = l.previous[s]
	}
	return at, ok
}
