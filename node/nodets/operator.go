package nodets

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core/tree"
	"kumquathinge/io/oper"
	"kumquathinge/io/strict"
)

// operatorClient calls the operators' interface of entry VMs.
type operatorClient struct {
	client *http.Client
	scheme string
	key    string
}

// newOperatorClient returns a client with the system's certificate and the
// first operator's key, if any.
func (sys *System) newOperatorClient() operatorClient {
	sys.tb.Helper()
	operator := operatorClient{client: client, scheme: "http://"}
	if len(sys.config.Operators) > 0 {
		operator.key = sys.config.Operators[0].Key
	}
	tlsCfg, err := sys.config.TLS.Load(time.Now())
	assert.NilError(sys.tb, err)
	if tlsCfg != nil {
		transport := strict.NewTransport(&http.Transport{DisableKeepAlives: true, TLSClientConfig: tlsCfg})
		operator.client = &http.Client{Timeout: awaitTimeout, Transport: transport}
		operator.scheme = "https://"
	}
	return operator
}

// call sends a request to an entry VM and decodes the response into dst. It
// returns a failure that the entry VM reported as such.
func (operator operatorClient) call(entry *EntryVM, method, path string, body []byte, dst any) (*oper.Failure, error) {
	req, err := http.NewRequest(method, operator.scheme+entry.Addrs.Operators+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if operator.key != "" {
		req.Header.Set("Authorization", "Bearer "+operator.key)
	}
	res, err := operator.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	dec := json.NewDecoder(res.Body)
	if res.StatusCode == http.StatusOK {
		return nil, dec.Decode(dst)
	}
	failure := new(oper.Failure)
	return failure, dec.Decode(failure)
}

// get sends a GET request and decodes the response into dst.
func (operator operatorClient) get(entry *EntryVM, path string, dst any) error {
	failure, err := operator.call(entry, http.MethodGet, path, nil, dst)
	if err == nil && failure != nil {
		err = fmt.Errorf("code %d: %s", failure.Code, failure.Error)
	}
	return err
}

// Status returns the status that an entry VM reports to operators.
func (sys *System) Status(entry *EntryVM) (oper.Status, error) {
	var status oper.Status
	return status, sys.operator.get(entry, "/v1/status", &status)
}

// Settings returns the settings in force at an entry VM.
func (sys *System) Settings(entry *EntryVM, path string) (oper.Settings, error) {
	var got oper.Settings
	return got, sys.operator.get(entry, "/v1/settings?path="+url.QueryEscape(path), &got)
}

// ChangeSetting sends one change with an operator's key. It returns the
// receipt or the failure that the entry VM reported.
func (sys *System) ChangeSetting(entry *EntryVM, key string, change oper.Change) (oper.Receipt, *oper.Failure, error) {
	var receipt oper.Receipt
	body, err := json.Marshal(change)
	if err != nil {
		return receipt, nil, err
	}
	operator := sys.operator
	operator.key = key
	failure, err := operator.call(entry, http.MethodPut, "/v1/settings", body, &receipt)
	return receipt, failure, err
}

// TurnOnRule turns on a rule of the fold.
func (sys *System) TurnOnRule(entry *EntryVM, num uint16) (*oper.Failure, error) {
	body, err := json.Marshal(oper.RuleChange{Number: num})
	if err != nil {
		return nil, err
	}
	var receipt oper.Receipt
	return sys.operator.call(entry, http.MethodPost, "/v1/rules", body, &receipt)
}

// TrySet tries once to change a setting, based on the node's present version.
func (sys *System) TrySet(entry *EntryVM, path, key string, raw []byte) error {
	cur, err := sys.Settings(entry, path)
	if err != nil {
		return err
	}
	_, failure, err := sys.ChangeSetting(entry, sys.operator.key, oper.Change{Path: tree.Path(path), Key: key, Value: raw, Base: &cur.Version})
	if err == nil && failure != nil {
		err = errors.New(failure.Error)
	}
	return err
}
