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
)

// operator calls the operators' interface of entry VMs.
type operator struct {
	cli    *http.Client
	scheme string
	key    string
}

// newOperator returns an operator with the system's certificate and first key,
// if any.
func (sys *System) newOperator() operator {
	sys.tst.Helper()
	opr := operator{cli: client, scheme: "http://"}
	if len(sys.cfg.Operators) > 0 {
		opr.key = sys.cfg.Operators[0].Key
	}
	sec, err := sys.cfg.TLS.Load(time.Now())
	assert.NilError(sys.tst, err)
	if sec != nil {
		tra := &http.Transport{DisableKeepAlives: true, TLSClientConfig: sec}
		opr.cli = &http.Client{Timeout: awaitBound, Transport: tra}
		opr.scheme = "https://"
	}
	return opr
}

// call sends a request to an entry VM and reads the answer into val. A failure
// of the system's is returned as such.
func (opr operator) call(mem *Member, method, pth string, body []byte, val any) (*oper.Failure, error) {
	req, err := http.NewRequest(method, opr.scheme+mem.Addrs.Operators+pth, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if opr.key != "" {
		req.Header.Set("Authorization", "Bearer "+opr.key)
	}
	res, err := opr.cli.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	dec := json.NewDecoder(res.Body)
	if res.StatusCode == http.StatusOK {
		return nil, dec.Decode(val)
	}
	fai := new(oper.Failure)
	return fai, dec.Decode(fai)
}

// get reads an answer.
func (opr operator) get(mem *Member, pth string, val any) error {
	fai, err := opr.call(mem, http.MethodGet, pth, nil, val)
	if err == nil && fai != nil {
		err = fmt.Errorf("code %d: %s", fai.Code, fai.Error)
	}
	return err
}

// Status returns what an entry VM tells operators.
func (sys *System) Status(mem *Member) (oper.Status, error) {
	var sta oper.Status
	return sta, sys.oper.get(mem, "/v1/status", &sta)
}

// Settings returns the settings in force at an entry VM.
func (sys *System) Settings(mem *Member, pth string) (oper.Settings, error) {
	var got oper.Settings
	return got, sys.oper.get(mem, "/v1/settings?path="+url.QueryEscape(pth), &got)
}

// Change sends one change with an operator's key. It returns the receipt or
// the failure that the entry VM answered.
func (sys *System) Change(mem *Member, key string, cha oper.Change) (oper.Receipt, *oper.Failure, error) {
	var rec oper.Receipt
	body, err := json.Marshal(cha)
	if err != nil {
		return rec, nil, err
	}
	opr := sys.oper
	opr.key = key
	fai, err := opr.call(mem, http.MethodPut, "/v1/settings", body, &rec)
	return rec, fai, err
}

// TrySet changes a setting once, on top of the node's present version.
func (sys *System) TrySet(mem *Member, pth, key string, raw []byte) error {
	cur, err := sys.Settings(mem, pth)
	if err != nil {
		return err
	}
	_, fai, err := sys.Change(mem, sys.oper.key, oper.Change{Path: tree.Path(pth), Key: key, Value: raw, Base: &cur.Version})
	if err == nil && fai != nil {
		err = errors.New(fai.Error)
	}
	return err
}
