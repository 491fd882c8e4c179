package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/rotisserie/eris"

	"kumquathinge/core"
)

// Config is the start file of an entry VM. Everything else stands in the
// settings tree. Advertise is the address at which peers reach the node, if it
// is not the one that the node listens on.
type Config struct {
	Node      core.NodeName `json:"node" validate:"required,max=64"`
	Zone      core.Zone     `json:"zone" validate:"required,max=64"`
	Listen    Listen        `json:"listen"`
	Advertise string        `json:"advertise" validate:"omitempty,hostname_port"`
	Log       string        `json:"log" validate:"required,hostname_port"`
	VMs       string        `json:"vms" validate:"required,hostname_port"`
	Seeds     []string      `json:"seeds" validate:"dive,hostname_port"`
	Operators []Operator    `json:"operators" validate:"dive"`
	TLS       TLS           `json:"tls"`
}

// Operator is one who may change settings. Without operators only callers
// from a loopback address may.
type Operator struct {
	Name    string `json:"name" validate:"required,max=64"`
	KeyHash string `json:"key_hash" validate:"required,len=64,hexadecimal,lowercase"`
}

// Listen has the addresses that the daemon listens on, as IP:port. Port 0 lets
// the system choose.
type Listen struct {
	Callers   string `json:"callers" validate:"required,tcp_addr"`
	Operators string `json:"operators" validate:"required,tcp_addr"`
	Peers     string `json:"peers" validate:"required,tcp_addr"`
	Metrics   string `json:"metrics" validate:"required,tcp_addr"`
}

// TLS names the PEM files of the node's key and certificate and of the
// authority that signs its peers and operators. All are empty or none is; they
// may be empty only if peers and operators are listened for on a loopback
// address.
type TLS struct {
	Cert string `json:"cert" validate:"required_with=Key CA"`
	Key  string `json:"key" validate:"required_with=Cert CA"`
	CA   string `json:"ca" validate:"required_with=Cert Key"`
}

// Enabled reports whether the files are named.
func (cer TLS) Enabled() bool { return cer.Cert != "" }

// ReadConfig reads and checks the start file. Its error carries
// core.CodeConfigInvalid and has one line for each wrong value.
func ReadConfig(path string) (Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, core.Errorf(core.CodeConfigInvalid, "start file: %v", err)
	}
	return ParseConfig(data)
}

// ParseConfig is ReadConfig for data that has been read.
func ParseConfig(data []byte) (Config, error) {
	var cfg Config
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	err := dec.Decode(&cfg)
	if err != nil {
		return Config{}, core.Errorf(core.CodeConfigInvalid, "start file: %v", err)
	}
	err = newValidator().Struct(cfg)
	if err == nil {
		return cfg, checkOpen(cfg)
	}
	var fes validator.ValidationErrors
	if !errors.As(err, &fes) {
		return Config{}, eris.Wrap(err, "start file can't be checked")
	}
	lns := make([]string, 0, len(fes))
	for _, fer := range fes {
		lns = append(lns, describeField(fer))
	}
	return Config{}, core.Errorf(core.CodeConfigInvalid, "start file: %s", strings.Join(lns, "\nstart file: "))
}

// newValidator returns a validator that names fields as JSON does.
func newValidator() *validator.Validate {
	val := validator.New(validator.WithRequiredStructEnabled())
	val.RegisterTagNameFunc(func(fld reflect.StructField) string {
		nam, _, _ := strings.Cut(fld.Tag.Get("json"), ",")
		return nam
	})
	return val
}

// describeField returns one line on a wrong value.
func describeField(fer validator.FieldError) string {
	_, path, _ := strings.Cut(fer.Namespace(), ".")
	rul := fer.Tag()
	if fer.Param() != "" {
		rul += "=" + fer.Param()
	}
	return path + ": value \"" + strings.TrimSpace(toText(fer.Value())) + "\" breaks the rule " + rul
}

// toText returns a value as JSON without quotes.
func toText(val any) string {
	out, err := json.Marshal(val)
	if err != nil {
		return "?"
	}
	return strings.Trim(string(out), `"`)
}
