package main

import "encoding/json"

const (
	host        = "letters.example"
	batchPrefix = "/batch/"
	streamPath  = "/draft/"
	oncePath    = "/once/"
	safePath    = "/intake/"
	modelsName  = "levelgen"
	appName     = "portal"
)

// putConfig writes a configuration with the routes of a small deployment, as the operator does.
func (d *deployment) putConfig(version int64, change func(map[string]any)) {
	config := map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "batch", "host": host, "pathPrefix": batchPrefix, "kind": "batch", "service": modelsName, "timeoutMs": 15000, "targetLatencyMs": 400,
				"priority": 2, "maxAttempts": 3, "dueMs": 18000, "retentionS": 60, "gapTargetMs": 250, "sticky": true, "resumable": true},
			{"name": "stream", "host": host, "pathPrefix": streamPath, "kind": "stream", "service": modelsName, "timeoutMs": 5000, "targetLatencyMs": 300,
				"priority": 0, "maxAttempts": 2, "gapTargetMs": 250, "sticky": true, "resumable": true},
			{"name": "once", "host": host, "pathPrefix": oncePath, "kind": "stream", "service": modelsName, "timeoutMs": 5000, "targetLatencyMs": 300,
				"priority": 0, "maxAttempts": 1, "gapTargetMs": 250, "sticky": true, "resumable": false},
			{"name": "safe", "host": host, "pathPrefix": safePath, "kind": "safe", "service": appName, "timeoutMs": 1500, "targetLatencyMs": 100,
				"priority": 2, "maxAttempts": 2},
		},
		"services": []map[string]any{
			{"name": modelsName, "healthPath": "/health", "maxConns": 370, "engine": map[string]any{"slots": 8, "kvCapTokens": 147261}},
			{"name": appName, "healthPath": "/health", "maxConns": 110},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 10000, "idleTimeoutMs": 30000},
	}
	if change != nil {
		change(config)
	}
	raw, _ := json.Marshal(config)
	d.store.put("keyed.op", 0, keyed("config", raw))
	d.rec.line("operator writes configuration %d of %d bytes", version, len(raw))
}
