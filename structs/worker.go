package structs

// Lifecycle is the state of a worker, instance or upstream in the platform's
// directory, which may be out of date.
type Lifecycle string

// Lifecycle states. Gone is written only after the platform has ended the
// machine. Absence from the directory does not imply Gone.
const (
	Live    Lifecycle = "live"
	Leaving Lifecycle = "leaving"
	Gone    Lifecycle = "gone"
)

// Location is the place of a worker, instance or upstream.
type Location struct {
	Region        Region        `json:"region" yaml:"region" cbor:"1,keyasint"`
	FailureDomain FailureDomain `json:"failure_domain" yaml:"failure_domain" cbor:"2,keyasint"`
	Rack          Rack          `json:"rack,omitempty" yaml:"rack,omitempty" cbor:"3,keyasint,omitempty"`
}

// Worker is a machine of the platform that runs tasks.
type Worker struct {
	ID       WorkerID          `json:"id"`
	Location Location          `json:"location"`
	Capacity Resources         `json:"capacity"`
	Labels   map[string]string `json:"labels,omitempty"`
	State    Lifecycle         `json:"state"`
	Address  string            `json:"address"` // host:port of the worker's control API
}

// Executor is an upstream that executes requests to a service.
type Executor struct {
	ID          ExecutorID `json:"id"`
	Service     string     `json:"service"`
	Location    Location   `json:"location"`
	Address     string     `json:"address"` // host:port
	Slots       int        `json:"slots"`
	Connections int        `json:"connections"`
	State       Lifecycle  `json:"state"`
}

// InstanceInfo is the directory's entry for a mangodrumd instance.
type InstanceInfo struct {
	ID              InstanceID `json:"id"`
	Location        Location   `json:"location"`
	CallerAddress   string     `json:"caller_address"`
	OperatorAddress string     `json:"operator_address"`
	PeerAddress     string     `json:"peer_address"`
	State           Lifecycle  `json:"state"`
}
