package config

import (
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/internal/strictyaml"
	"github.com/mangodrum/mangodrum/settings"
	"github.com/mangodrum/mangodrum/structs"
)

// Values of the field kind in the header of a file.
const (
	KindInstance = "Instance"
	KindJob      = "Job"
	KindRequest  = "Request"
	KindCell     = "Cell"
)

// Instance is the configuration of one mangodrumd process.
type Instance struct {
	strictyaml.Header
	ID              structs.InstanceID    `yaml:"id" required:"true" pattern:"^[a-z0-9][a-z0-9.-]{0,62}$" doc:"Identifier of the instance; unique in the cell."`
	Region          structs.Region        `yaml:"region" required:"true" pattern:"^[a-z0-9][a-z0-9-]{0,39}$" doc:"Region of the instance."`
	FailureDomain   structs.FailureDomain `yaml:"failure_domain" required:"true" pattern:"^[a-z0-9][a-z0-9-]{0,39}$" doc:"Failure domain of the instance."`
	Listen          Listen                `yaml:"listen" required:"true"`
	PlatformAddress string                `yaml:"platform" required:"true" doc:"IP:port of the platform's API."`
	Secrets         Secrets               `yaml:"secrets"`
	Log             Logging               `yaml:"log"`
	Limits          Limits                `yaml:"limits"`
}

// Listen holds the addresses that an instance listens on and announces, each
// as IP:port.
type Listen struct {
	Callers   string `yaml:"callers" required:"true" doc:"IP:port for callers."`
	Operators string `yaml:"operators" required:"true" doc:"IP:port for operators."`
	Peers     string `yaml:"peers" required:"true" doc:"IP:port for other instances."`
}

// Secrets holds the shared secrets, each inline or in a file. Without a
// secret, the listener accepts every connection.
type Secrets struct {
	Peers         string `yaml:"peers" doc:"Secret shared by the instances."`
	PeersFile     string `yaml:"peers_file" doc:"File that holds the secret shared by the instances."`
	Operators     string `yaml:"operators" doc:"Secret required from operators."`
	OperatorsFile string `yaml:"operators_file" doc:"File that holds the secret required from operators."`
}

// Logging configures the logger.
type Logging struct {
	Level  string `yaml:"level" oneof:"trace debug info warn error" doc:"Lowest level that is written. Default: info."`
	Format string `yaml:"format" oneof:"text json" doc:"Format of log lines. Default: text."`
}

// Limits bounds the connections, the requests and the memory of an instance. A
// field that is zero takes its default.
type Limits struct {
	MaxConnections int               `yaml:"max_connections" min:"1" max:"100000" doc:"Largest number of connections of callers; fewer where the memory or the descriptors of the process do not suffice. Default: 4096."`
	MaxBody        settings.Bytes    `yaml:"max_body" min:"1KiB" max:"1GiB" doc:"Largest request body. Default: 8MiB."`
	MaxHeader      settings.Bytes    `yaml:"max_header" min:"1KiB" max:"1MiB" doc:"Largest request header. Default: 16KiB."`
	ReadTimeout    settings.Duration `yaml:"read_timeout" min:"100ms" max:"1h" doc:"Longest time to read a request. Default: 30s."`
	WriteTimeout   settings.Duration `yaml:"write_timeout" min:"100ms" max:"1h" doc:"Longest time to write a response. Default: 30s."`
	IdleTimeout    settings.Duration `yaml:"idle_timeout" min:"100ms" max:"1h" doc:"Longest time that a connection is idle. Default: 60s."`
	Memory         settings.Bytes    `yaml:"memory" min:"32MiB" max:"64GiB" doc:"Soft limit of the process's memory. Default: 256MiB."`
}

// DecodeInstance reads an instance file and fills in the defaults.
func DecodeInstance(file string, data []byte) (*Instance, error) {
	instance := &Instance{}
	report, err := decodeOne(file, data, KindInstance, instance)
	if err != nil {
		return nil, err
	}
	instance.check(report)
	if err := report.Err(); err != nil {
		return nil, err
	}
	instance.setDefaults()
	return instance, nil
}

// LoadInstance reads the instance file and the secrets that it names.
func LoadInstance(file string) (*Instance, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errs.Wrap(err, errs.InvalidInput, "give the path of a readable file", "read the instance file")
	}
	instance, err := DecodeInstance(file, data)
	if err != nil {
		return nil, err
	}
	if err := setSecret(&instance.Secrets.Peers, instance.Secrets.PeersFile); err != nil {
		return nil, err
	}
	return instance, setSecret(&instance.Secrets.Operators, instance.Secrets.OperatorsFile)
}

// ReadSecret returns the secret in the file without surrounding white space.
func ReadSecret(file string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", errs.Wrap(err, errs.InvalidInput, "give the path of a readable file", "read the shared secret")
	}
	secret := strings.TrimSpace(string(data))
	if secret == "" {
		return "", errs.New(errs.InvalidInput, "write the shared secret into the file", "secret file %s is empty", file)
	}
	return secret, nil
}

// setSecret sets target to the secret in the file. Without a file, target
// keeps its value.
func setSecret(target *string, file string) error {
	if file == "" {
		return nil
	}
	secret, err := ReadSecret(file)
	*target = secret
	return err
}

// Info returns the instance's entry for the directory.
func (i *Instance) Info() structs.InstanceInfo {
	return structs.InstanceInfo{
		ID:              i.ID,
		Location:        structs.Location{Region: i.Region, FailureDomain: i.FailureDomain},
		CallerAddress:   i.Listen.Callers,
		OperatorAddress: i.Listen.Operators,
		PeerAddress:     i.Listen.Peers,
		State:           structs.Live,
	}
}

func (i *Instance) check(report *strictyaml.Report) {
	addresses := map[string]string{}
	for _, item := range []struct{ field, address string }{
		{"listen.callers", i.Listen.Callers},
		{"listen.operators", i.Listen.Operators},
		{"listen.peers", i.Listen.Peers},
		{"platform", i.PlatformAddress},
	} {
		if item.address == "" {
			continue // already reported as missing
		}
		if _, err := netip.ParseAddrPort(item.address); err != nil {
			report.Add(item.field, `write an address such as "127.0.0.1:7070"`, "%q is not IP:port", item.address)
			continue
		}
		if other, ok := addresses[item.address]; ok {
			report.Add(item.field, "use another port", "address %s is already used by %s", item.address, other)
		}
		addresses[item.address] = item.field
	}
	i.Secrets.check(report)
}

func (s Secrets) check(report *strictyaml.Report) {
	if s.Peers != "" && s.PeersFile != "" {
		report.Add("secrets.peers_file", "keep one of peers and peers_file", "the secret is given twice")
	}
	if s.Operators != "" && s.OperatorsFile != "" {
		report.Add("secrets.operators_file", "keep one of operators and operators_file", "the secret is given twice")
	}
}

// setDefault sets target to value if target is zero.
func setDefault[T comparable](target *T, value T) {
	var zero T
	if *target == zero {
		*target = value
	}
}

func (i *Instance) setDefaults() {
	const second = settings.Duration(1e9)
	setDefault(&i.Log.Level, "info")
	setDefault(&i.Log.Format, "text")
	setDefault(&i.Limits.MaxConnections, 4096)
	setDefault(&i.Limits.MaxBody, 8<<20)
	setDefault(&i.Limits.MaxHeader, 16<<10)
	setDefault(&i.Limits.ReadTimeout, 30*second)
	setDefault(&i.Limits.WriteTimeout, 30*second)
	setDefault(&i.Limits.IdleTimeout, 60*second)
	setDefault(&i.Limits.Memory, 256<<20)
}

// decodeOne decodes a file that must hold a single document of the given kind.
// The report has the problems found.
func decodeOne(file string, data []byte, kind string, target interface{ FileKind() string }) (*strictyaml.Report, error) {
	documents, err := strictyaml.Parse(file, data)
	if err != nil {
		return nil, err
	}
	if len(documents) != 1 {
		return nil, errs.New(errs.InvalidInput, "write one document per file",
			"%s: has %d YAML documents instead of 1", file, len(documents))
	}
	report := documents[0].Decode(target)
	checkKind(report, target.FileKind(), kind)
	return report, nil
}

// checkKind reports a document of another kind. A missing kind is already
// reported by the decoder.
func checkKind(report *strictyaml.Report, got, want string) {
	if got != "" && got != want {
		report.Add("kind", fmt.Sprintf("use a file with kind: %s", want), "is %q, not %q", got, want)
	}
}
