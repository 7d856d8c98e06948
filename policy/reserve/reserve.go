// Package reserve decides how many slots batch requests leave free for the next wave of online
// requests, so that few of them are stopped when it comes.
//
// Demand follows the online requests in flight of one service. From the last waves it knows how many
// slots one needs and, if they come at regular intervals, when the next one begins. A batch request
// may start if it is done by then, if there is room for it beside the wave, or if it cannot wait.
// Until waves were seen, and while the work does not fit beside them, every batch request may start. The package does no I/O and reads no clock,
// and nothing in it is safe for concurrent use.
package reserve

import (
	"slices"
	"time"
)

const (
	// UrgentSlack is the slack below which a batch request takes any free slot: a run that is stopped
	// then can still wait until the wave is over.
	UrgentSlack = 6 * time.Second
	// maxBacklog is the time that the waiting batch requests may take on the room beside the waves.
	// With more, slots left free would make some of them late, and nothing is held back.
	maxBacklog = 4 * time.Second
	// maxBusyShare is the share of the slots, on average over the remembered time, from which nothing
	// is held back: slots left free then could not be made up for.
	maxBusyShare = 0.8
	// RetryAfter is the time after which an instance asks again for a request that was held back.
	RetryAfter = 120 * time.Millisecond
	// SampleInterval is the interval of the samples of the online requests, and sampleCount the
	// number that is kept: 12 s, which hold two waves of the usual length.
	SampleInterval = 50 * time.Millisecond
	sampleCount    = 240
	// peakPercentile is the percentile of the samples that counts as the height of a wave. Shorter
	// rises are left to preemption.
	peakPercentile = 90
	// minSwing is the least ratio of the height of a wave to the lowest demand. With less, the free
	// slots that batch requests leave on each server are enough.
	minSwing = 1.5
	// recomputeInterval is the interval at which the height of the waves is computed anew.
	recomputeInterval = 200 * time.Millisecond
	// knownRises is the number of beginnings of waves that are remembered. With minRises of them,
	// their intervals are regular if they differ by less than maxIrregularity of the mean.
	knownRises      = 4
	minRises        = 2
	maxIrregularity = 0.2
	// riseMargin is the time before the expected beginning of a wave by which its slots are free.
	riseMargin = 300 * time.Millisecond
	// maxStarts limits the starts of batch requests that are remembered.
	maxStarts = 4096
)

// Demand follows the demand of one service. The zero value is ready to use.
type Demand struct {
	samples [sampleCount]int
	// busy holds the online and batch requests in flight with each sample, and meanBusy their mean.
	busy     [sampleCount]int
	meanBusy float64
	count    int // samples taken
	// observedAt is the time of the last sample.
	observedAt time.Time
	// low and peak are the lowest sample and the height of the waves, as of computedAt.
	low, peak  int
	computedAt time.Time
	buffer     [sampleCount]int
	// high is set during a wave; rises are the beginnings of the last ones.
	high  bool
	rises []time.Time
	// ends are the expected ends of the batch requests that were started, in any order.
	ends []time.Time
}

// Observe records the load, which counts for the time since the last call too.
func (d *Demand) Observe(now time.Time, f Fleet) {
	online, samples := f.Online, 1
	if !d.observedAt.IsZero() {
		samples = min(max(1, int(now.Sub(d.observedAt)/SampleInterval)), sampleCount)
	}
	d.observedAt = now
	for range samples {
		d.samples[d.count%sampleCount], d.busy[d.count%sampleCount] = online, online+f.Batch
		d.count++
	}
	if now.Sub(d.computedAt) >= recomputeInterval {
		d.recompute(now)
	}
	if !d.hasWaves() {
		d.high = true // a wave that is on already has no known beginning
		return
	}
	// Hysteresis keeps small changes around the middle from counting as waves.
	third := (d.peak - d.low) / 3
	switch {
	case !d.high && online > d.peak-third:
		d.high = true
		d.rises = append(d.rises, now)
		if len(d.rises) > knownRises {
			d.rises = slices.Delete(d.rises, 0, 1)
		}
	case d.high && online < d.low+third:
		d.high = false
	}
}

func (d *Demand) recompute(now time.Time) {
	d.computedAt = now
	n := copy(d.buffer[:], d.samples[:min(d.count, sampleCount)])
	sorted := d.buffer[:n]
	slices.Sort(sorted)
	d.low, d.peak = sorted[0], sorted[(n-1)*peakPercentile/100]
	sum := 0
	for _, busy := range d.busy[:n] {
		sum += busy
	}
	d.meanBusy = float64(sum) / float64(n)
	d.ends = slices.DeleteFunc(d.ends, func(end time.Time) bool { return !end.After(now) })
}

// hasWaves reports whether the demand of the remembered time has waves.
func (d *Demand) hasWaves() bool {
	return d.count >= sampleCount && float64(d.peak) >= minSwing*float64(max(1, d.low))
}

// Peak returns the height of the last waves, or zero if there were none.
func (d *Demand) Peak() int {
	if !d.hasWaves() {
		return 0
	}
	return d.peak
}

// UntilRise returns the time until the slots of the next wave must be free; zero if it may begin at
// any time.
func (d *Demand) UntilRise(now time.Time) time.Duration {
	n := len(d.rises)
	if n < minRises || d.high {
		return 0
	}
	mean := d.rises[n-1].Sub(d.rises[0]) / time.Duration(n-1)
	deviation := time.Duration(maxIrregularity * float64(mean))
	for i := range n - 1 {
		if interval := d.rises[i+1].Sub(d.rises[i]); interval < mean-deviation || interval > mean+deviation {
			return 0
		}
	}
	return max(0, d.rises[n-1].Add(mean-riseMargin).Sub(now))
}

// Request is a batch request.
type Request struct {
	// Slack is the time for which it can wait and still be done when it is due.
	Slack time.Duration
	// RunTime is the expected time of its run; zero if not known.
	RunTime time.Duration
}

// Fleet is the load of the service.
type Fleet struct {
	Slots, Online, Batch int
	// Waiting is the number of batch requests that wait for a slot.
	Waiting int
}

// Allows reports whether a batch request may start now. That a slot is free is not checked.
func (d *Demand) Allows(now time.Time, r Request, f Fleet) bool {
	if !d.hasWaves() {
		return true
	}
	room := f.Slots - max(d.peak, f.Online)
	if r.Slack < UrgentSlack || d.meanBusy >= maxBusyShare*float64(f.Slots) || time.Duration(f.Waiting)*r.RunTime > time.Duration(max(0, room))*maxBacklog {
		return true
	}
	until := d.UntilRise(now)
	if r.RunTime > 0 && r.RunTime <= until {
		return true
	}
	return d.remaining(now, until, f.Batch) < room
}

// remaining returns how many of the batch requests in flight are expected to run on after a time.
func (d *Demand) remaining(now time.Time, after time.Duration, batch int) int {
	known, later := 0, 0
	for _, end := range d.ends {
		if end.After(now) {
			known++
			if end.After(now.Add(after)) {
				later++
			}
		}
	}
	if known == 0 {
		return batch
	}
	// Runs that were stopped are still among the known ones, and those that an earlier hub started
	// are not.
	return (batch*later + known - 1) / known
}

// RecordStart records that a batch request starts.
func (d *Demand) RecordStart(now time.Time, r Request) {
	if r.RunTime > 0 && len(d.ends) < maxStarts {
		d.ends = append(d.ends, now.Add(r.RunTime))
	}
}
