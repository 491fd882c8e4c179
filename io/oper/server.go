package oper

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"kumquathinge/core"
	"kumquathinge/core/tree"
)

const (
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes = 64 << 10

	defaultProposeTimeout = 10 * time.Second
	readTimeout           = 10 * time.Second
	writeTimeout          = 30 * time.Second
	idleTimeout           = 2 * time.Minute
	maxConnections        = 1024

	loopbackOperator = "loopback"
	jsonContentType  = "application/json"
	bearerPrefix     = "Bearer "
)

// Operator is a person or program that may call the API. KeyHash is the SHA-256
// hash of the operator's key in lower-case hexadecimal.
type Operator struct {
	Name    string
	KeyHash string
}

// Config configures an API. Without operators, only callers from a loopback
// address are accepted, and need no key. ProposeTimeout limits the wait for the
// decision on a change; zero means 10 seconds.
type Config struct {
	Operators      []Operator
	ProposeTimeout time.Duration
}

// API is the HTTP interface for operators.
type API struct {
	backend        Backend
	proposeTimeout time.Duration
	namesByKeyHash map[string]string
	handler        fasthttp.RequestHandler
}

// New returns the API of a node. Its error carries core.CodeConfigInvalid
// and names the operator whose name or key hash is invalid.
func New(backend Backend, cfg Config) (*API, error) {
	api := &API{backend: backend, proposeTimeout: cfg.ProposeTimeout, namesByKeyHash: make(map[string]string)}
	if api.proposeTimeout <= 0 {
		api.proposeTimeout = defaultProposeTimeout
	}
	for idx, op := range cfg.Operators {
		err := api.addOperator(idx, op)
		if err != nil {
			return nil, err
		}
	}
	api.handler = api.requireOperator(api.newRouter().Handler)
	return api, nil
}

func (api *API) addOperator(idx int, op Operator) error {
	if op.Name == "" {
		return core.Errorf(core.CodeConfigInvalid, "operator %d has no name", idx)
	}
	raw, err := hex.DecodeString(op.KeyHash)
	if err != nil || len(raw) != sha256.Size || strings.ToLower(op.KeyHash) != op.KeyHash {
		return core.Errorf(core.CodeConfigInvalid,
			"operator %q: the key's hash is not a SHA-256 in lower-case hexadecimal", op.Name)
	}
	if name, ok := api.namesByKeyHash[op.KeyHash]; ok {
		return core.Errorf(core.CodeConfigInvalid, "operators %q and %q have the same key", name, op.Name)
	}
	api.namesByKeyHash[op.KeyHash] = op.Name
	return nil
}

// Handler returns the handler of all routes, which authenticates operators.
func (api *API) Handler() fasthttp.RequestHandler { return api.handler }

// Server returns an HTTP server for the handler, with timeouts and limits on the
// body size and the number of connections.
func (api *API) Server() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               api.handler,
		ErrorHandler:          handleServerError,
		Name:                  "kumquathinge",
		Concurrency:           maxConnections,
		MaxRequestBodySize:    MaxBodyBytes,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
}

func (api *API) newRouter() *router.Router {
	routes := router.New()
	routes.RedirectTrailingSlash = false
	routes.RedirectFixedPath = false
	routes.GET("/v1/settings", api.getSettings)
	routes.PUT("/v1/settings", api.putSetting)
	routes.DELETE("/v1/settings", api.deleteSetting)
	routes.GET("/v1/settings/history", api.getHistory)
	routes.GET("/v1/audit", api.getAudit)
	routes.GET("/v1/outcome", api.getOutcome)
	routes.GET("/v1/status", api.getStatus)
	routes.GET("/v1/groups", api.getGroups)
	routes.GET("/v1/vms", api.getVMs)
	routes.GET("/v1/nodes", api.getNodes)
	routes.POST("/v1/drain", api.postDrain)
	routes.POST("/v1/rules", api.postRule)
	routes.NotFound = func(ctx *fasthttp.RequestCtx) {
		writeFailure(ctx, fasthttp.StatusNotFound, Failure{Code: core.CodeBadRequest, Error: "no such route " + string(ctx.Path())})
	}
	routes.MethodNotAllowed = func(ctx *fasthttp.RequestCtx) {
		text := string(ctx.Method()) + " is not allowed on " + string(ctx.Path())
		writeFailure(ctx, fasthttp.StatusMethodNotAllowed, Failure{Code: core.CodeBadRequest, Error: text})
	}
	return routes
}

type operatorContextKey struct{}

// requireOperator passes requests of authenticated operators on to next and
// rejects all others.
func (api *API) requireOperator(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		name, err := api.authenticate(ctx)
		if err != nil {
			ctx.Response.Header.Set("WWW-Authenticate", "Bearer")
			writeError(ctx, "", err)
			return
		}
		ctx.SetUserValue(operatorContextKey{}, name)
		next(ctx)
	}
}

func (api *API) authenticate(ctx *fasthttp.RequestCtx) (string, error) {
	if len(api.namesByKeyHash) == 0 {
		if ctx.RemoteIP().IsLoopback() {
			return loopbackOperator, nil
		}
		return "", core.Errorf(core.CodeUnauthorized, "no operators are configured, so only callers from a loopback address are accepted")
	}
	key, ok := strings.CutPrefix(string(ctx.Request.Header.Peek("Authorization")), bearerPrefix)
	if !ok {
		return "", core.Errorf(core.CodeUnauthorized, "the operator's key is missing: Authorization: Bearer KEY")
	}
	sum := sha256.Sum256([]byte(key))
	name, ok := api.namesByKeyHash[hex.EncodeToString(sum[:])]
	if !ok {
		return "", core.Errorf(core.CodeUnauthorized, "unknown operator key")
	}
	return name, nil
}

func operatorName(ctx *fasthttp.RequestCtx) string {
	name, ok := ctx.UserValue(operatorContextKey{}).(string)
	if !ok {
		panic("oper: handler called without requireOperator")
	}
	return name
}

func writeJSON(ctx *fasthttp.RequestCtx, val any) {
	out, err := json.Marshal(val)
	if err != nil {
		writeError(ctx, "", err)
		return
	}
	ctx.SetContentType(jsonContentType)
	ctx.SetBody(append(out, '\n'))
}

// writeError writes err as the response; path is the settings node of the
// request, if any.
func writeError(ctx *fasthttp.RequestCtx, path tree.Path, err error) {
	failure := Failure{Code: core.CodeOf(err), Error: errorDetail(err), Path: path}
	writeFailure(ctx, httpStatus(failure.Code), failure)
}

func writeFailure(ctx *fasthttp.RequestCtx, status int, failure Failure) {
	writeJSON(ctx, failure)
	ctx.SetStatusCode(status)
}

func handleServerError(ctx *fasthttp.RequestCtx, err error) {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		writeError(ctx, "", core.Errorf(core.CodeTooLarge, "the body is larger than %d bytes", MaxBodyBytes))
		return
	}
	writeError(ctx, "", core.Errorf(core.CodeBadRequest, "the request can't be read: %v", err))
}

func errorDetail(err error) string {
	var coreErr *core.Error
	if errors.As(err, &coreErr) {
		return coreErr.Detail()
	}
	return err.Error()
}

var httpStatuses = map[core.Code]int{
	core.CodeOK:               fasthttp.StatusOK,
	core.CodeBadRequest:       fasthttp.StatusBadRequest,
	core.CodeUnauthorized:     fasthttp.StatusUnauthorized,
	core.CodeTooLarge:         fasthttp.StatusRequestEntityTooLarge,
	core.CodeNotReady:         fasthttp.StatusServiceUnavailable,
	core.CodeSettingInvalid:   fasthttp.StatusBadRequest,
	core.CodeSettingUnknown:   fasthttp.StatusBadRequest,
	core.CodeSettingRaced:     fasthttp.StatusConflict,
	core.CodeSettingUncertain: fasthttp.StatusGatewayTimeout,
	core.CodeNoSuchNode:       fasthttp.StatusNotFound,
	core.CodeLogRefused:       fasthttp.StatusServiceUnavailable,
	core.CodeLogDown:          fasthttp.StatusServiceUnavailable,
	core.CodeLogUnknown:       fasthttp.StatusGatewayTimeout,
	core.CodeGroupUnknown:     fasthttp.StatusNotFound,
	core.CodeVMUnknown:        fasthttp.StatusNotFound,
	core.CodeDuplicateRecord:  fasthttp.StatusConflict,
	core.CodeRuleUnknown:      fasthttp.StatusConflict,
}

func httpStatus(code core.Code) int {
	if status, ok := httpStatuses[code]; ok {
		return status
	}
	return fasthttp.StatusInternalServerError
}
