package main

import (
	"context"
	"os"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/node/serve"
)

// reload reads the settings again at each signal, until ctx ends. A running instance
// keeps its addresses and limits; a file that differs takes effect at the next start,
// and the log says so.
func reload(ctx context.Context, signals <-chan os.Signal, path string, inForce serve.Settings) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		next, err := serve.Load(path)
		switch {
		case err != nil:
			klog.InfoS("reload refused", "path", path, "err", err)
		case *next == inForce:
			klog.InfoS("reload", "path", path, "outcome", "nothing has changed")
		default:
			klog.InfoS("reload", "path", path, "outcome", "the changes take effect at the next start")
		}
	}
}
