package provider

import (
	"testing"

	"github.com/mangodrum/mangodrum/internal/golden"
)

// Guards against changes of the encoding between instances and the platform's
// table service, directory and workers.
func TestEncodingIsUnchanged(t *testing.T) {
	golden.Check(t, golden.JSON, map[string]any{
		"lease-renewal": LeaseRenewal{},
		"row":           Row{},
		"start-task":    StartTask{},
		"txn":           Txn{},
		"txn-result":    TxnResult{},
		"worker-batch":  WorkerBatch{},
		"worker-report": WorkerReport{},
	})
}
