// Package edge bounds what connections from outside can make the process hold: the memory of
// requests that arrive or are served, and descriptors.
//
// net/http decodes a request's head while it arrives and holds several times what was sent. The
// connections of this package therefore follow the framing of the bytes before net/http gets
// them, estimate what they cost once they are decoded, and count that in an account of the whole
// process. At its limit the connections that hold most and progress least end first.
package edge

import "bytes"

// Estimates of the memory in bytes that a request takes while it is served, with the copies that
// decoding and forwarding make of it.
const (
	headByteCost = 3
	// lineCost is the cost of a header line beside its bytes: entries in two maps of headers.
	lineCost = 256
	// listEntryCost is the cost of an entry of a list in a header.
	listEntryCost = 64
	bodyByteCost  = 3
)

// maxFieldBytes is the length of the beginning of each line that is kept to recognise the fields
// that frame a body. Unusual padding makes them longer; the connection then ends with the response.
const maxFieldBytes = 48

// versionLength is the length of the protocol version with the CR behind it.
const versionLength = len("HTTP/1.1\r")

// part is a part of a request.
type part uint8

const (
	inHead part = iota
	inBody
	inChunkSize
	inChunkData
	inChunkEnd
	inTrailer
	// inUnknown is the rest of a connection whose framing the scanner does not follow.
	inUnknown
)

// Scanner follows the framing of the requests on a connection and estimates what they cost. It
// decides nothing about their meaning: where it does not follow, the connection has to end with the
// next response. The zero value expects a request.
type Scanner struct {
	part part
	// left is the number of bytes left of the body or of the chunk.
	left int64
	// headBytes is the length of the header lines so far and firstLine that of the request line.
	headBytes, firstLine int
	lines, listEntries   int
	bodyBytes            int
	// line is the beginning of the current line and lineLength its length without the final LF.
	line       [maxFieldBytes]byte
	lineLength int
	// ending is the end of the request line, and endedHead the longer of the request line and the
	// header lines of a request that ended in the last Scan.
	ending    [versionLength]byte
	endedHead int
	length    int64
	hasLength bool
	chunked   bool
	lost      bool
	started   bool
	// served is the cost of earlier requests that are not released.
	served int
}

// Scan takes the next bytes of the connection and returns how many of them belong to the current
// request. A request that has ended before is followed by the next one.
func (s *Scanner) Scan(b []byte) int {
	s.endedHead = 0
	s.started = s.started || len(b) > 0
	for n := 0; n < len(b); {
		switch s.part {
		case inHead, inChunkSize, inTrailer:
			end := bytes.IndexByte(b[n:], '\n')
			rest := b[n:]
			if end >= 0 {
				rest = b[n : n+end]
			}
			s.addToLine(rest)
			n += len(rest)
			if end < 0 {
				return n
			}
			n++
			s.countHead(1)
			if s.endLine() {
				s.endRequest()
				return n
			}
		case inBody, inChunkData:
			step := min(int64(len(b)-n), s.left)
			n, s.left, s.bodyBytes = n+int(step), s.left-step, s.bodyBytes+int(step)
			if s.left > 0 {
				return n
			}
			if s.part == inBody {
				s.endRequest()
				return n
			}
			s.part, s.left = inChunkEnd, 2
		case inChunkEnd:
			if want := "\n\r"[s.left-1]; b[n] != want {
				s.lose()
				continue
			}
			n++
			if s.left--; s.left == 0 {
				s.part = inChunkSize
			}
		default:
			s.bodyBytes += len(b) - n
			return len(b)
		}
	}
	return len(b)
}

// addToLine adds bytes to the current line.
func (s *Scanner) addToLine(b []byte) {
	if s.lineLength < maxFieldBytes {
		copy(s.line[s.lineLength:], b)
	}
	s.lineLength += len(b)
	s.countHead(len(b))
	if s.part == inHead && s.lines == 0 {
		kept := copy(s.ending[:], s.ending[min(len(b), versionLength):])
		copy(s.ending[kept:], b[max(0, len(b)-versionLength):])
	}
	if s.part != inChunkSize {
		s.listEntries += bytes.Count(b, []byte{','})
	}
}

func (s *Scanner) countHead(n int) {
	switch {
	case s.part != inHead:
		s.bodyBytes += n
	case s.lines == 0:
		s.firstLine += n
	default:
		s.headBytes += n
	}
}

// endLine ends the current line. It returns true if the request ends with it.
func (s *Scanner) endLine() bool {
	line := s.line[:min(s.lineLength, maxFieldBytes)]
	isWhole := s.lineLength <= maxFieldBytes
	s.lineLength = 0
	if isWhole {
		line = bytes.TrimSuffix(line, []byte{'\r'})
	}
	switch s.part {
	case inChunkSize:
		return s.beginChunk(line)
	case inTrailer:
		s.lines++
		return len(line) == 0
	}
	s.lines++
	if s.lines == 1 {
		if len(line) == 0 {
			s.lose() // net/http refuses it
		}
		return false
	}
	if len(line) > 0 {
		s.addField(line, isWhole)
		return false
	}
	switch {
	case s.lost:
		s.part = inUnknown
	case s.chunked && (s.hasLength || !s.isCurrentVersion()):
		s.lose()
	case s.chunked:
		s.part = inChunkSize
	case s.length > 0:
		s.part, s.left = inBody, s.length
	default:
		return true
	}
	return false
}

// isCurrentVersion reports whether the request line ends with the version that has chunks.
func (s *Scanner) isCurrentVersion() bool {
	return string(s.ending[:]) == "HTTP/1.1\r" || string(s.ending[1:]) == "HTTP/1.1"
}

// addField takes the framing from a header line, if it has some.
func (s *Scanner) addField(line []byte, isWhole bool) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	isLength, isCoding := bytes.EqualFold(name, []byte("Content-Length")), bytes.EqualFold(name, []byte("Transfer-Encoding"))
	if !isLength && !isCoding {
		// A name with spaces around it, or a folded line, may frame the body for net/http.
		trimmed := bytes.TrimSpace(name)
		if len(trimmed) != len(name) && (bytes.EqualFold(trimmed, []byte("Content-Length")) || bytes.EqualFold(trimmed, []byte("Transfer-Encoding"))) {
			s.lost = true
		}
		if (line[0] == ' ' || line[0] == '\t') && (s.hasLength || s.chunked) {
			s.lost = true
		}
		return
	}
	value = bytes.Trim(value, " \t")
	switch {
	case !isWhole, isLength && s.hasLength, isCoding && s.chunked:
		s.lost = true
	case isLength:
		length, ok := parseNumber(value, 10)
		s.length, s.hasLength, s.lost = length, true, s.lost || !ok
	default:
		s.chunked, s.lost = true, s.lost || !bytes.EqualFold(value, []byte("chunked"))
	}
}

// beginChunk begins the chunk with this line. It returns false: a trailer follows the last one.
func (s *Scanner) beginChunk(line []byte) bool {
	size, _, _ := bytes.Cut(line, []byte{';'})
	length, ok := parseNumber(bytes.TrimRight(size, " \t"), 16)
	switch {
	case !ok:
		s.lose()
	case length == 0:
		s.part = inTrailer
	default:
		s.part, s.left = inChunkData, length
	}
	return false
}

// lose makes the scanner give the framing up.
func (s *Scanner) lose() { s.lost, s.part = true, inUnknown }

// endRequest prepares the scanner for the next request.
func (s *Scanner) endRequest() {
	*s = Scanner{served: s.Cost(), endedHead: max(s.headBytes, s.firstLine)}
}

// parseNumber returns a number without a sign, and whether it is one.
func parseNumber(digits []byte, base int64) (int64, bool) {
	const maxNumber = 1 << 50
	n := int64(0)
	for _, d := range digits {
		value := int64(bytes.IndexByte([]byte("0123456789abcdef"), d|0x20))
		if d >= '0' && d <= '9' {
			value = int64(d - '0')
		}
		if value < 0 || value >= base || n > maxNumber {
			return 0, false
		}
		n = n*base + value
	}
	return n, len(digits) > 0
}

// Cost returns the estimated memory of the requests in bytes.
func (s *Scanner) Cost() int {
	return s.served + headByteCost*(s.headBytes+s.firstLine) + lineCost*s.lines + listEntryCost*s.listEntries + bodyByteCost*s.bodyBytes
}

// Release releases what the requests before the current one took.
func (s *Scanner) Release() { s.served = 0 }

// HasComplete reports whether a request has arrived in full that is not released.
func (s *Scanner) HasComplete() bool { return s.served > 0 }

// ExceedsHead reports whether the request line or the header lines are longer than limit bytes, in
// the request that the last Scan was about.
func (s *Scanner) ExceedsHead(limit int) bool {
	return max(s.headBytes, s.firstLine, s.endedHead) > limit
}

// Lost reports whether the framing is unknown, so that the connection has to end.
func (s *Scanner) Lost() bool { return s.lost }

// Started reports whether a part of a request has arrived that has not arrived in full.
func (s *Scanner) Started() bool { return s.started }
