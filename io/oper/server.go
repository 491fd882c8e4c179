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
	// MaxBodyBytes is the greatest size of a request's body.
	MaxBodyBytes = 64 << 10

	defaultProposeTimeout = 10 * time.Second
	readTimeout           = 10 * time.Second
	writeTimeout          = 30 * time.Second
	idleTimeout           = 2 * time.Minute
	concurrency           = 1024 // connections

	loopbackName = "loopback"
	jsonType     = "application/json"
	bearer       = "Bearer "
)

// Operator is one who may call the interface. KeyHash is the SHA-256 hash of
// the operator's key in lower-case hexadecimal.
type Operator struct {
	Name    string
	KeyHash string
}

// Config configures an API. Without operators only callers from a loopback
// address are let in, without a key.
type Config struct {
	Operators      []Operator
	ProposeTimeout time.Duration
}

// API is the operators' interface.
type API struct {
	bck     Backend
	timeout time.Duration
	names   map[string]string
	handler fasthttp.RequestHandler
}

// New returns the interface to bck. Its error carries core.CodeConfigInvalid
// and names the operator whose name or hash is wrong.
func New(bck Backend, cfg Config) (*API, error) {
	api := &API{bck: bck, timeout: cfg.ProposeTimeout, names: make(map[string]string)}
	if api.timeout <= 0 {
		api.timeout = defaultProposeTimeout
	}
	for idx, opr := range cfg.Operators {
		err := api.admit(idx, opr)
		if err != nil {
			return nil, err
		}
	}
	api.handler = api.guard(api.routes().Handler)
	return api, nil
}

func (api *API) admit(idx int, opr Operator) error {
	if opr.Name == "" {
		return core.Errorf(core.CodeConfigInvalid, "operator %d has no name", idx)
	}
	raw, err := hex.DecodeString(opr.KeyHash)
	if err != nil || len(raw) != sha256.Size || strings.ToLower(opr.KeyHash) != opr.KeyHash {
		return core.Errorf(core.CodeConfigInvalid,
			"operator %q: the key's hash is not a SHA-256 in lower-case hexadecimal", opr.Name)
	}
	if nam, ok := api.names[opr.KeyHash]; ok {
		return core.Errorf(core.CodeConfigInvalid, "operators %q and %q have the same key", nam, opr.Name)
	}
	api.names[opr.KeyHash] = opr.Name
	return nil
}

// Handler returns the handler of all routes.
func (api *API) Handler() fasthttp.RequestHandler { return api.handler }

// Server returns a server of the handler with bounds on time and size.
func (api *API) Server() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               api.handler,
		ErrorHandler:          serverError,
		Name:                  "kumquathinge",
		Concurrency:           concurrency,
		MaxRequestBodySize:    MaxBodyBytes,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
}

func (api *API) routes() *router.Router {
	rou := router.New()
	rou.RedirectTrailingSlash = false
	rou.RedirectFixedPath = false
	rou.GET("/v1/settings", api.getSettings)
	rou.PUT("/v1/settings", api.putSetting)
	rou.DELETE("/v1/settings", api.deleteSetting)
	rou.GET("/v1/settings/history", api.getHistory)
	rou.GET("/v1/audit", api.getAudit)
	rou.GET("/v1/outcome", api.getOutcome)
	rou.GET("/v1/status", api.getStatus)
	rou.GET("/v1/groups", api.getGroups)
	rou.GET("/v1/vms", api.getVMs)
	rou.GET("/v1/nodes", api.getNodes)
	rou.POST("/v1/drain", api.postDrain)
	rou.NotFound = func(ctx *fasthttp.RequestCtx) {
		failStatus(ctx, fasthttp.StatusNotFound, Failure{Code: core.CodeBadRequest, Error: "no such route " + string(ctx.Path())})
	}
	rou.MethodNotAllowed = func(ctx *fasthttp.RequestCtx) {
		text := string(ctx.Method()) + " is not allowed on " + string(ctx.Path())
		failStatus(ctx, fasthttp.StatusMethodNotAllowed, Failure{Code: core.CodeBadRequest, Error: text})
	}
	return rou
}

type operatorKey struct{}

// guard lets in callers that are operators.
func (api *API) guard(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		nam, err := api.operator(ctx)
		if err != nil {
			ctx.Response.Header.Set("WWW-Authenticate", "Bearer")
			fail(ctx, "", err)
			return
		}
		ctx.SetUserValue(operatorKey{}, nam)
		next(ctx)
	}
}

func (api *API) operator(ctx *fasthttp.RequestCtx) (string, error) {
	if len(api.names) == 0 {
		if ctx.RemoteIP().IsLoopback() {
			return loopbackName, nil
		}
		return "", core.Errorf(core.CodeUnauthorized, "no operators are configured, so only loopback callers are let in")
	}
	key, ok := strings.CutPrefix(string(ctx.Request.Header.Peek("Authorization")), bearer)
	if !ok {
		return "", core.Errorf(core.CodeUnauthorized, "the operator's key is missing: Authorization: Bearer KEY")
	}
	sum := sha256.Sum256([]byte(key))
	nam, ok := api.names[hex.EncodeToString(sum[:])]
	if !ok {
		return "", core.Errorf(core.CodeUnauthorized, "the operator's key is not known")
	}
	return nam, nil
}

func operatorOf(ctx *fasthttp.RequestCtx) string {
	nam, ok := ctx.UserValue(operatorKey{}).(string)
	if !ok {
		panic("oper: handler without guard")
	}
	return nam
}

func answer(ctx *fasthttp.RequestCtx, val any) {
	out, err := json.Marshal(val)
	if err != nil {
		fail(ctx, "", err)
		return
	}
	ctx.SetContentType(jsonType)
	ctx.SetBody(append(out, '\n'))
}

// fail answers err; pth is the node that the request was for.
func fail(ctx *fasthttp.RequestCtx, pth tree.Path, err error) {
	flr := Failure{Code: core.CodeOf(err), Error: detail(err), Path: pth}
	failStatus(ctx, httpStatus(flr.Code), flr)
}

func failStatus(ctx *fasthttp.RequestCtx, status int, flr Failure) {
	answer(ctx, flr)
	ctx.SetStatusCode(status)
}

func serverError(ctx *fasthttp.RequestCtx, err error) {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		fail(ctx, "", core.Errorf(core.CodeTooLarge, "the body is larger than %d bytes", MaxBodyBytes))
		return
	}
	fail(ctx, "", core.Errorf(core.CodeBadRequest, "the request can't be read: %v", err))
}

func detail(err error) string {
	var cer *core.Error
	if errors.As(err, &cer) {
		return cer.Detail()
	}
	return err.Error()
}

var statuses = map[core.Code]int{
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
}

func httpStatus(cod core.Code) int {
	if sta, ok := statuses[cod]; ok {
		return sta
	}
	return fasthttp.StatusInternalServerError
}
