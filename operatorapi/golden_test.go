package operatorapi

import (
	"testing"

	"github.com/mangodrum/mangodrum/internal/golden"
)

// Guards against answers that an older command line cannot read.
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
