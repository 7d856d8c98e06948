package workspacequota

import "time"

const (
	// Window is the length of the longest window in which a quota holds.
	Window = 5 * time.Second
	// binLength is the resolution of the times of requests.
	binLength = 100 * time.Millisecond
	// windowBins is the number of bins that a window touches.
	windowBins = int64(Window/binLength) + 1
	// reportBinLength is the resolution of the times of requests in reports.
	reportBinLength = 500 * time.Millisecond
	binsPerReport   = int64(reportBinLength / binLength)
	reportBins      = int64(Window / reportBinLength)
)

// history counts the requests of the last Window. Times are durations since the table's start.
type history struct {
	newest int64 // the number of the newest bin
	counts [windowBins]int32
	sum    int32
}

// binOf returns the number of the bin of a time.
func binOf(at time.Duration) int64 { return int64(at / binLength) }

// advance drops what is older than a window.
func (h *history) advance(now time.Duration) {
	bin := binOf(now)
	for dropped := int64(0); h.newest < bin; dropped++ {
		if dropped == windowBins {
			h.newest = bin
			return
		}
		h.newest++
		slot := h.newest % windowBins
		h.sum -= h.counts[slot]
		h.counts[slot] = 0
	}
}

// at returns the count of the bin so many bins before the newest one.
func (h *history) at(age int64) int32 {
	if bin := h.newest - age; bin >= 0 {
		return h.counts[bin%windowBins]
	}
	return 0
}

// add adds requests that were sent so many bins before now; a negative number takes the latest
// ones back.
func (h *history) add(now time.Duration, age int64, n int32) {
	h.advance(now)
	for ; n < 0 && age < windowBins && age <= h.newest; age++ {
		slot := (h.newest - age) % windowBins
		taken := min(-n, h.counts[slot])
		h.counts[slot] -= taken
		h.sum -= taken
		n += taken
	}
	if n > 0 && age >= 0 && age < windowBins && age <= h.newest {
		h.counts[(h.newest-age)%windowBins] += n
		h.sum += n
	}
}

// total returns the number of requests in the last Window.
func (h *history) total(now time.Duration) int32 {
	h.advance(now)
	return h.sum
}

// recent returns the counts in bins of reportBinLength, the newest first.
func (h *history) recent(now time.Duration) []uint32 {
	h.advance(now)
	var list []uint32
	for i := range reportBins {
		sum := int32(0)
		for age := i * binsPerReport; age < (i+1)*binsPerReport; age++ {
			sum += h.at(age)
		}
		list = append(list, uint32(max(0, sum)))
	}
	for len(list) > 0 && list[len(list)-1] == 0 {
		list = list[:len(list)-1]
	}
	return list
}
