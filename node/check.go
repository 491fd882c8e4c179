package node

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"sync"

	"github.com/go-playground/validator/v10"

	"kumquathinge/core"
	"kumquathinge/core/tree"
)

const keyHashBytes = 32

// rules are the checks of single values beside the validator's own.
var rules = map[string]func(txt string) bool{
	"name":        isName,
	"listen_addr": isListenAddr,
	"dial_addr":   isDialAddr,
	"key_hash":    isKeyHash,
}

// faults tells for each rule what is wrong with a value that breaks it. A rule
// with a parameter has it in place of the verb.
var faults = map[string]string{
	"required":                "is missing",
	"required_with":           "is missing: cert, key and ca are named all or none",
	"max":                     "is longer than %s",
	"name":                    "is no name: letters, digits, dot, dash and underscore, the first a letter or digit",
	"listen_addr":             "is not IP:port",
	"dial_addr":               "is not IP:port with a port above 0",
	"dial_addr|hostname_port": "is not host:port with a port above 0",
	"key_hash":                "is not a SHA-256 in lower-case hexadecimal",
	"unique":                  "has two with the same %s",
}

// isName reports whether the name can stand in a path of the settings tree.
func isName(txt string) bool {
	_, err := tree.NodePath(core.NodeName(txt)).Kind()
	return err == nil
}

func isListenAddr(txt string) bool {
	_, err := netip.ParseAddrPort(txt)
	return err == nil
}

func isDialAddr(txt string) bool {
	adr, err := netip.ParseAddrPort(txt)
	return err == nil && adr.Port() > 0 && !adr.Addr().IsUnspecified()
}

func isKeyHash(txt string) bool {
	raw, err := hex.DecodeString(txt)
	return err == nil && len(raw) == keyHashBytes && strings.ToLower(txt) == txt
}

// check returns one line for each wrong value.
func (cfg Config) check() []string {
	err := fieldValidator().Struct(cfg)
	var fes validator.ValidationErrors
	if errors.As(err, &fes) {
		lns := make([]string, 0, len(fes))
		for _, fer := range fes {
			lns = append(lns, describeField(fer))
		}
		return lns
	}
	if err != nil {
		return []string{err.Error()}
	}
	return cfg.checkReach()
}

// checkReach refuses addresses for peers and operators that other machines
// reach without TLS, and one for peers that none can reach. The addresses must
// have been checked.
func (cfg Config) checkReach() []string {
	var lns []string
	peers := netip.MustParseAddrPort(cfg.Listen.Peers).Addr()
	operators := netip.MustParseAddrPort(cfg.Listen.Operators).Addr()
	const open = "listen.%s: %q is no loopback address, so the section tls is required"
	if !cfg.TLS.Enabled() && !operators.IsLoopback() {
		lns = append(lns, fmt.Sprintf(open, "operators", cfg.Listen.Operators))
	}
	if !cfg.TLS.Enabled() && !peers.IsLoopback() {
		lns = append(lns, fmt.Sprintf(open, "peers", cfg.Listen.Peers))
	}
	if peers.IsUnspecified() && cfg.Advertise == "" {
		lns = append(lns, fmt.Sprintf("advertise: is missing: peers can't dial %q", cfg.Listen.Peers))
	}
	return lns
}

// fieldValidator returns the validator of all start files.
var fieldValidator = sync.OnceValue(newValidator)

// newValidator returns a validator that names fields as JSON does. It panics
// if a rule can't be registered.
func newValidator() *validator.Validate {
	val := validator.New(validator.WithRequiredStructEnabled())
	val.RegisterTagNameFunc(func(fld reflect.StructField) string {
		nam, _, _ := strings.Cut(fld.Tag.Get("json"), ",")
		return nam
	})
	for nam, rul := range rules {
		err := val.RegisterValidation(nam, func(fld validator.FieldLevel) bool { return rul(fld.Field().String()) })
		if err != nil {
			panic(err)
		}
	}
	return val
}

// describeField returns one line on a wrong value. It does not quote what
// stands in place of a hash, which may be the key.
func describeField(fer validator.FieldError) string {
	_, path, _ := strings.Cut(fer.Namespace(), ".")
	txt, ok := faults[fer.Tag()]
	if !ok {
		txt = "breaks the rule " + fer.Tag()
	}
	if strings.Contains(txt, "%s") {
		txt = fmt.Sprintf(txt, fer.Param())
	}
	val := reflect.ValueOf(fer.Value())
	if fer.Tag() == "key_hash" || val.Kind() != reflect.String || val.Len() == 0 {
		return path + ": " + txt
	}
	return path + ": " + quote(val.String()) + " " + txt
}

// maxQuoted bounds what is quoted of a wrong value, in bytes.
const maxQuoted = 100

// quote returns the start of txt on one line.
func quote(txt string) string {
	end := ""
	if len(txt) > maxQuoted {
		txt, end = txt[:maxQuoted], "..."
	}
	out, err := json.Marshal(txt)
	if err != nil {
		return "?"
	}
	return string(out) + end
}
