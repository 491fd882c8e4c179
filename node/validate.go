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

// customRules are the checks of single values in addition to those of the
// validator package.
var customRules = map[string]func(text string) bool{
	"name":        isName,
	"listen_addr": isListenAddr,
	"dial_addr":   isDialAddr,
	"key_hash":    isKeyHash,
}

// ruleMessages has the error text for each rule. The verb stands for the
// parameter of the rule.
var ruleMessages = map[string]string{
	"required":                "is missing",
	"required_with":           "is missing: cert, key and ca must be set together",
	"max":                     "is longer than %s",
	"name":                    "is not a valid name: letters, digits, dot, dash and underscore, the first a letter or digit",
	"listen_addr":             "is not IP:port",
	"dial_addr":               "is not IP:port with a port above 0",
	"dial_addr|hostname_port": "is not host:port with a port above 0",
	"key_hash":                "is not a SHA-256 in lower-case hexadecimal",
	"unique":                  "has two entries with the same %s",
}

// isName reports whether the name is valid as part of a path of the settings
// tree.
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

// validate returns one line for each invalid value.
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

// validateReachability rejects addresses for peers and operators that other
// machines can reach without TLS, and a peer address that no machine can dial.
// The addresses must have been validated.
func (cfg Config) validateReachability() []string {
	var lines []string
	peers := netip.MustParseAddrPort(cfg.Listen.Peers).Addr()
	operators := netip.MustParseAddrPort(cfg.Listen.Operators).Addr()
	const open = "listen.%s: %q is not a loopback address, so the section tls is required"
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

// fieldValidator returns the shared validator of start files.
var fieldValidator = sync.OnceValue(newValidator)

// newValidator returns a validator that uses the JSON names of fields. It
// panics if a rule can't be registered.
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

// describeField returns one line on an invalid value. It does not quote an
// invalid key hash, which may be the key itself.
func describeField(fieldErr validator.FieldError) string {
	_, path, _ := strings.Cut(fieldErr.Namespace(), ".")
	text, ok := ruleMessages[fieldErr.Tag()]
	if !ok {
		text = "violates the rule " + fieldErr.Tag()
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

// maxQuotedBytes limits how much of an invalid value is quoted.
const maxQuotedBytes = 100

// quote returns the start of text as a JSON string, which is on one line.
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
