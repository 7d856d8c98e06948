package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// textGenerator generates text that compresses about as well as short prose: words of a
// fixed vocabulary with frequencies that follow Zipf's law.
type textGenerator struct {
	list []string
	zipf *rand.Zipf
}

func newTextGenerator(seed uint64) *textGenerator {
	rng := rand.New(rand.NewPCG(seed, 1))
	w := &textGenerator{zipf: rand.NewZipf(rng, 1.2, 4, 4999)}
	for range 5000 {
		var b strings.Builder
		for range 1 + rng.IntN(3) {
			b.WriteByte("bcdfghklmnprstvz"[rng.IntN(16)])
			b.WriteByte("aeiou"[rng.IntN(5)])
			b.WriteByte("lmnrst"[rng.IntN(6)])
		}
		w.list = append(w.list, b.String())
	}
	return w
}

// text returns n bytes of text.
func (w *textGenerator) text(n int) string {
	var b strings.Builder
	for b.Len() < n {
		b.WriteString(w.list[w.zipf.Uint64()])
		b.WriteByte(' ')
	}
	return b.String()[:n]
}

// inputLine returns a line of about n bytes of a batch input file.
func (w *textGenerator) inputLine(i, n int) []byte {
	const frame = 110
	return fmt.Appendf(nil, `{"custom_id":"item-%07d","method":"POST","url":"/v1/chat/completions","body":{"messages":[{"role":"user","content":%q}]}}`,
		i, w.text(max(8, n-frame)))
}

// resultBody returns the response body of an item, of about n bytes.
func (w *textGenerator) resultBody(i, n int) []byte {
	const frame = 170
	return fmt.Appendf(nil, `{"id":"chatcmpl-%08x","object":"chat.completion","model":"m","choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],"usage":{"prompt_tokens":220,"completion_tokens":250}}`,
		i*2654435761, w.text(max(8, n-frame)))
}
