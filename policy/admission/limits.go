package admission

// Limits bounds the concurrent work of one instance.
type Limits struct {
	// InFlight is the maximum number of requests in flight.
	InFlight int
	// Queued is the maximum number of queued requests.
	Queued int
	// BodyBytes is the memory for request bodies and incomplete answers.
	BodyBytes int64
}

const (
	// A core can relay several thousand streams; 2,000 leaves headroom for bursts.
	inFlightPerCore = 2000
	queuedPerCore   = 500
	// An online request takes about 64 KiB of memory, including its buffers.
	bytesPerRequest = 64 << 10
	// memoryPerBodyByte is the ratio of all memory to BodyBytes.
	memoryPerBodyByte = 4
	minCores          = 0.25
)

// InstanceLimits returns the limits of an instance with the given cores, which
// may be a fraction, and memory in bytes.
func InstanceLimits(cores float64, memory int64) Limits {
	cores = max(cores, minCores)
	body := max(memory/memoryPerBodyByte, 1<<20)
	byMemory := int(body / bytesPerRequest)
	inFlight := max(1, min(int(cores*inFlightPerCore), byMemory))
	return Limits{
		InFlight:  inFlight,
		Queued:    max(1, min(int(cores*queuedPerCore), inFlight/4)),
		BodyBytes: body,
	}
}
