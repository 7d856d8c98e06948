package main

import (
	"context"
	"os"

	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/node/serve"
)

// reload reads the settings file again on each signal until ctx is done. A running
// instance keeps its addresses and limits: changes take effect at the next start, and
// only the comparison with the settings in force is logged.
func reload(ctx context.Context, signals <-chan os.Signal, path string, inForce serve.Settings) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		loaded, err := serve.Load(path)
		switch {
		case err != nil:
			klog.InfoS("reload refused", "path", path, "err", err)
		case *loaded == inForce:
			klog.InfoS("reload", "path", path, "outcome", "no changes")
		default:
			klog.InfoS("reload", "path", path, "outcome", "changes take effect at the next start")
		}
	}
}
