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

// customRules are the checks of single values beside the validator's own.
var customRules = map[string]func(text string) bool{
	"name":        isName,
	"listen_addr": isListenAddr,
	"dial_addr":   isDialAddr,
	"key_hash":    isKeyHash,
}

// ruleMessages tells for each rule what is wrong with a value that breaks it. A rule
// with a parameter has it in place of the verb.
var ruleMessages = map[string]string{
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
func isName(text string) bool {
	_, err := tree.NodePath(core.NodeName(text)).Kind()
	return err == nil
}

func isListenAddr(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

func isDialAddr(text string) bool {
	addr, err := netip.ParseAddrPort(text)
	return err == nil && addr.Port() > 0 && !addr.Addr().IsUnspecified()
}

func isKeyHash(text string) bool {
	raw, err := hex.DecodeString(text)
	return err == nil && len(raw) == keyHashBytes && strings.ToLower(text) == text
}

// validate returns one line for each wrong value.
func (cfg Config) validate() []string {
	err := fieldValidator().Struct(cfg)
	var fieldErrs validator.ValidationErrors
	if errors.As(err, &fieldErrs) {
		lines := make([]string, 0, len(fieldErrs))
		for _, fieldErr := range fieldErrs {
			lines = append(lines, describeField(fieldErr))
		}
		return lines
	}
	if err != nil {
		return []string{err.Error()}
	}
	return cfg.validateReachability()
}

// validateReachability refuses addresses for peers and operators that other machines
// reach without TLS, and one for peers that none can reach. The addresses must
// have been checked.
func (cfg Config) validateReachability() []string {
	var lines []string
	peers := netip.MustParseAddrPort(cfg.Listen.Peers).Addr()
	operators := netip.MustParseAddrPort(cfg.Listen.Operators).Addr()
	const open = "listen.%s: %q is no loopback address, so the section tls is required"
	if !cfg.TLS.Enabled() && !operators.IsLoopback() {
		lines = append(lines, fmt.Sprintf(open, "operators", cfg.Listen.Operators))
	}
	if !cfg.TLS.Enabled() && !peers.IsLoopback() {
		lines = append(lines, fmt.Sprintf(open, "peers", cfg.Listen.Peers))
	}
	if peers.IsUnspecified() && cfg.Advertise == "" {
		lines = append(lines, fmt.Sprintf("advertise: is missing: peers can't dial %q", cfg.Listen.Peers))
	}
	return lines
}

// fieldValidator returns the validator of all start files.
var fieldValidator = sync.OnceValue(newValidator)

// newValidator returns a validator that names fields as JSON does. It panics
// if a rule can't be registered.
func newValidator() *validator.Validate {
	val := validator.New(validator.WithRequiredStructEnabled())
	val.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		return name
	})
	for name, rule := range customRules {
		err := val.RegisterValidation(name, func(field validator.FieldLevel) bool { return rule(field.Field().String()) })
		if err != nil {
			panic(err)
		}
	}
	return val
}

// describeField returns one line on a wrong value. It does not quote what
// stands in place of a hash, which may be the key.
func describeField(fieldErr validator.FieldError) string {
	_, path, _ := strings.Cut(fieldErr.Namespace(), ".")
	text, ok := ruleMessages[fieldErr.Tag()]
	if !ok {
		text = "breaks the rule " + fieldErr.Tag()
	}
	if strings.Contains(text, "%s") {
		text = fmt.Sprintf(text, fieldErr.Param())
	}
	val := reflect.ValueOf(fieldErr.Value())
	if fieldErr.Tag() == "key_hash" || val.Kind() != reflect.String || val.Len() == 0 {
		return path + ": " + text
	}
	return path + ": " + quote(val.String()) + " " + text
}

// maxQuotedBytes bounds what is quoted of a wrong value, in bytes.
const maxQuotedBytes = 100

// quote returns the start of txt on one line.
func quote(text string) string {
	suffix := ""
	if len(text) > maxQuotedBytes {
		text, suffix = text[:maxQuotedBytes], "..."
	}
	out, err := json.Marshal(text)
	if err != nil {
		return "?"
	}
	return string(out) + suffix
}
