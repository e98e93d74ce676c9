package operatorapi

import (
	"testing"

	"github.com/mangodrum/mangodrum/internal/golden"
)

// Guards against encoding changes that an older command-line client cannot
// decode.
func TestEncodingIsUnchanged(t *testing.T) {
	golden.Check(t, golden.JSON, map[string]any{
		"apply-reply":     ApplyReply{},
		"apply-request":   ApplyRequest{},
		"error":           ErrorBody{},
		"history":         HistoryReply{},
		"instances":       InstanceList{},
		"job-detail":      JobDetail{},
		"job-explanation": JobExplanation{},
		"jobs":            JobList{},
		"queues":          QueueList{},
		"settings":        SettingsReply{},
		"settings-status": SettingsStatus{},
		"version":         VersionInfo{},
		"workers":         WorkerList{},
	})
}
