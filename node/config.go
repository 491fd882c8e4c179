package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"os"
	"strings"

	"kumquathinge/core"
)

// Config is the start file of an entry VM. All other configuration is in the
// settings tree. Advertise is the address at which peers reach the node, if it
// differs from the one that the node listens on; it is required if the node
// listens on an unspecified address, such as 0.0.0.0.
type Config struct {
	Node      core.NodeName `json:"node" validate:"required,max=64,name"`
	Zone      core.Zone     `json:"zone" validate:"required,max=64,name"`
	Listen    Listen        `json:"listen"`
	Advertise string        `json:"advertise" validate:"omitempty,dial_addr"`
	Log       string        `json:"log" validate:"required,dial_addr|hostname_port"`
	VMs       string        `json:"vms" validate:"required,dial_addr|hostname_port"`
	Seeds     []string      `json:"seeds" validate:"dive,dial_addr"`
	Operators []Operator    `json:"operators" validate:"unique=KeyHash,dive"`
	TLS       TLS           `json:"tls"`
}

// Operator is a person who may change settings. Without operators, only
// callers from a loopback address may.
type Operator struct {
	Name    string `json:"name" validate:"required,max=64"`
	KeyHash string `json:"key_hash" validate:"required,key_hash"`
}

// Listen has the addresses that the daemon listens on, as IP:port. With port 0
// the system chooses one.
type Listen struct {
	Callers   string `json:"callers" validate:"required,listen_addr"`
	Operators string `json:"operators" validate:"required,listen_addr"`
	Peers     string `json:"peers" validate:"required,listen_addr"`
	Metrics   string `json:"metrics" validate:"required,listen_addr"`
}

// TLS names the PEM files of the node's key and certificate and of the
// authority that signs the certificates of its peers and operators. Either all
// are set or none; without them the node may listen for peers and operators
// only on loopback addresses.
type TLS struct {
	Cert string `json:"cert" validate:"required_with=Key CA"`
	Key  string `json:"key" validate:"required_with=Cert CA"`
	CA   string `json:"ca" validate:"required_with=Cert Key"`
}

// Enabled reports whether the files are set.
func (files TLS) Enabled() bool { return files.Cert != "" }

// ReadConfig reads and validates the start file. Its error carries
// core.CodeConfigInvalid and has one line for each invalid value.
func ReadConfig(path string) (Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, core.Errorf(core.CodeConfigInvalid, "start file: %v", err)
	}
	return ParseConfig(data)
}

// ParseConfig parses and validates the content of a start file. Its error is
// that of ReadConfig.
func ParseConfig(data []byte) (Config, error) {
	var cfg Config
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	err := dec.Decode(&cfg)
	if err != nil {
		return Config{}, startFileError(strings.TrimPrefix(err.Error(), "json: "))
	}
	if _, err = dec.Token(); !errors.Is(err, io.EOF) {
		return Config{}, startFileError("there is more data after the JSON object")
	}
	lines := cfg.validate()
	if len(lines) > 0 {
		return Config{}, startFileError(lines...)
	}
	return cfg, nil
}

// startFileError returns an error with one line for each fault.
func startFileError(lines ...string) error {
	return core.Errorf(core.CodeConfigInvalid, "start file: %s", strings.Join(lines, "\nstart file: "))
}
