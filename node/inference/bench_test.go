package inference

import (
	"fmt"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/client"
	"github.com/jacinthnotch/jacinthnotch/node/metrics"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/standin/engine"
)

// BenchmarkOverhead measures a call through the inference service and the same call
// directly to the stand-in, whose engine takes no time itself.
func BenchmarkOverhead(b *testing.B) {
	env := newTestEnv(b, 1, engine.Options{})
	conns := client.NewPool(client.Options{})
	defer conns.Close()
	direct := client.NewEngine(env.Engines[0].Addr(), conns)
	for name, stream := range map[string]bool{"whole": false, "stream": true} {
		body := chatBody("overhead")
		run := func(name string, call func(i int) error) {
			b.Run(name, func(b *testing.B) {
				h := metrics.NewHistogram()
				for i := range b.N {
					began := time.Now()
					if err := call(i); err != nil {
						b.Fatal(err)
					}
					h.Record(time.Since(began))
				}
				s := h.Snapshot()
				b.ReportMetric(float64(s.P50), "p50-us")
				b.ReportMetric(float64(s.P99), "p99-us")
			})
		}
		run(name+"/direct", func(i int) error {
			_, err := direct.Generate(b.Context(), &port.GenerateRequest{ID: fmt.Sprint(i), Path: chatPath, Body: body, Stream: stream},
				func(port.Chunk) error { return nil })
			return err
		})
		run(name+"/instance", func(i int) error {
			_, err := env.service.Run(b.Context(), request(fmt.Sprint(i), "overhead", stream), func([]byte) error { return nil })
			return err
		})
	}
}
