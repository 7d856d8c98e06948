package entry

import (
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/settings"
)

// Limits bound the requests of callers. MinReadRate has the unit of the settings
// file, bytes per second.
type Limits struct {
	HeaderBytes     int
	BodyBytes       int64
	RecordedBytes   int64
	Connections     int
	ReadTimeout     time.Duration
	MinReadRate     int64
	WriteTimeout    time.Duration
	IdleTimeout     time.Duration
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
	// RecordWait bounds how long an answer is delayed until it is recorded.
	RecordWait time.Duration
	// StreamEvents is the capacity of the event queue of one stream.
	StreamEvents int
	// RecorderCalls is the capacity of the queue of answers to be recorded.
	RecorderCalls int
}

// LimitsOf returns the limits of a settings file.
func LimitsOf(s *settings.Settings) Limits {
	l := s.Limits
	return Limits{
		HeaderBytes:     int(l.HeaderBytes),
		BodyBytes:       l.BodyBytes,
		RecordedBytes:   l.RecordedBytes,
		Connections:     int(l.Connections),
		ReadTimeout:     l.ReadTimeout.Std(),
		MinReadRate:     l.MinReadRate,
		WriteTimeout:    l.WriteTimeout.Std(),
		IdleTimeout:     l.IdleTimeout.Std(),
		DefaultDeadline: l.DefaultDeadline.Std(),
		MaxDeadline:     l.MaxDeadline.Std(),
		RecordWait:      l.RecordWait.Std(),
		StreamEvents:    int(s.Rings.Stream),
		RecorderCalls:   int(s.Rings.Recorder),
	}
}
