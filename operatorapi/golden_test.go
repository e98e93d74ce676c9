package operatorapi

import (
	"testing"

	"github.com/mangodrum/mangodrum/internal/golden"
)

// Guards against encoding changes that an older command-line client cannot
// decode.
func TestEncodingIsUnchanged(t *testing.T) {
	golden.Check(t, golden.JSON, map[string]any{
		"apply-reply":     ApplyResponse{},
		"apply-request":   ApplyRequest{},
		"error":           ErrorBody{},
		"history":         HistoryResponse{},
		"instances":       InstanceList{},
		"job-detail":      JobDetail{},
		"job-explanation": JobExplanation{},
		"jobs":            JobList{},
		"queues":          QueueList{},
		"settings":        SettingsResponse{},
		"settings-status": SettingsStatus{},
		"version":         VersionInfo{},
		"workers":         WorkerList{},
	})
}
