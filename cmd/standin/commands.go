package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"kumquathinge/core"
	"kumquathinge/stand"
)

const headerTimeout = 10 * time.Second

// standIn is a server that stands in for another system. Its Control handler
// injects faults.
type standIn interface {
	Start(addr string) error
	Addr() string
	Close() error
	Control() http.Handler
}

// namedStandIn is a stand-in with its listen address and its name for fault
// injection.
type namedStandIn struct {
	name    string
	addr    string
	standIn standIn
}

// standInCommand is a subcommand that creates stand-ins.
type standInCommand interface {
	standIns() ([]namedStandIn, error)
	controlAddr() string
}

// commonFlags holds the flags of every subcommand.
type commonFlags struct {
	ControlAddr string `long:"control" value-name:"HOST:PORT" description:"Also accept faults at POST /fault?name=NAME on this address, which stays reachable when a stand-in is down"`
}

func (common commonFlags) controlAddr() string { return common.ControlAddr }

// Execute implements flags.Commander. It is not called, since the parser's
// CommandHandler runs the subcommand.
func (common commonFlags) Execute([]string) error { return nil }

type logCommand struct {
	commonFlags
	Addr      string `long:"addr" value-name:"HOST:PORT" required:"yes" description:"Address to listen on"`
	Retention int    `long:"retention" value-name:"N" description:"Keep only the N newest entries"`
}

func (cmd *logCommand) standIns() ([]namedStandIn, error) {
	log := stand.NewLog()
	log.SetFault(stand.LogFault{Retention: cmd.Retention})
	return []namedStandIn{{name: "log", addr: cmd.Addr, standIn: log}}, nil
}

type vmsCommand struct {
	commonFlags
	Addr string `long:"addr" value-name:"HOST:PORT" required:"yes" description:"Address to listen on"`
	File string `long:"file" value-name:"FILE" description:"JSON file with the list of VMs"`
}

func (cmd *vmsCommand) standIns() ([]namedStandIn, error) {
	var vms stand.VMList
	if cmd.File != "" {
		raw, err := os.ReadFile(cmd.File)
		if err != nil {
			return nil, eris.Wrap(err, "read list of VMs")
		}
		err = json.Unmarshal(raw, &vms)
		if err != nil {
			return nil, eris.Wrapf(err, "decode list of VMs in %s", cmd.File)
		}
	}
	return []namedStandIn{{name: "vms", addr: cmd.Addr, standIn: stand.NewVMs(vms.VMs...)}}, nil
}

type weightsCommand struct {
	commonFlags
	Addr string  `long:"addr" value-name:"HOST:PORT" required:"yes" description:"Address to listen on"`
	Rate float64 `long:"rate" value-name:"N" description:"Maximum fetches per second; 0 means no limit"`
}

func (cmd *weightsCommand) standIns() ([]namedStandIn, error) {
	return []namedStandIn{{name: "weights", addr: cmd.Addr, standIn: stand.NewWeights(cmd.Rate)}}, nil
}

// engineFlags holds the flags of an engine.
type engineFlags struct {
	Fencing   bool          `long:"fencing" description:"Reject orders with an older fencing token than the last one"`
	LoadTime  time.Duration `long:"load-time" value-name:"TIME" default:"1s" description:"Duration of a model load"`
	TokenTime time.Duration `long:"token-time" value-name:"TIME" default:"5ms" description:"Time per generated token"`
	Slots     int           `long:"slots" value-name:"N" default:"64" description:"Maximum number of concurrent requests"`
	Weights   string        `long:"weights" value-name:"HOST:PORT" description:"Address of the weight store"`
}

func (opts engineFlags) newEngine(vm string) *stand.Engine {
	return stand.NewEngine(stand.EngineConfig{
		VM:        core.VMName(vm),
		Fencing:   opts.Fencing,
		LoadTime:  opts.LoadTime,
		TokenTime: opts.TokenTime,
		Slots:     opts.Slots,
		Weights:   opts.Weights,
	})
}

type engineCommand struct {
	commonFlags
	engineFlags
	Addr string `long:"addr" value-name:"HOST:PORT" required:"yes" description:"Address to listen on"`
	VM   string `long:"vm" value-name:"NAME" required:"yes" description:"Name of the VM"`
}

func (cmd *engineCommand) standIns() ([]namedStandIn, error) {
	return []namedStandIn{{name: cmd.VM, addr: cmd.Addr, standIn: cmd.newEngine(cmd.VM)}}, nil
}

type enginesCommand struct {
	commonFlags
	engineFlags
	Count    int    `long:"count" value-name:"N" required:"yes" description:"Number of engines"`
	Host     string `long:"host" value-name:"HOST" default:"127.0.0.1" description:"Address to listen on"`
	BasePort int    `long:"base-port" value-name:"P" required:"yes" description:"Port of the first engine"`
	Prefix   string `long:"prefix" value-name:"NAME" default:"vm" description:"Prefix of the VM names NAME-0, NAME-1 and so on"`
}

func (cmd *enginesCommand) standIns() ([]namedStandIn, error) {
	var out []namedStandIn
	for idx := range cmd.Count {
		vm := fmt.Sprintf("%s-%d", cmd.Prefix, idx)
		addr := net.JoinHostPort(cmd.Host, strconv.Itoa(cmd.BasePort+idx))
		out = append(out, namedStandIn{name: vm, addr: addr, standIn: cmd.newEngine(vm)})
	}
	return out, nil
}

type plainCommand struct {
	commonFlags
	Addr string `long:"addr" value-name:"HOST:PORT" required:"yes" description:"Address to listen on"`
	VM   string `long:"vm" value-name:"NAME" required:"yes" description:"Name of the VM"`
}

func (cmd *plainCommand) standIns() ([]namedStandIn, error) {
	return []namedStandIn{{name: cmd.VM, addr: cmd.Addr, standIn: stand.NewPlain(cmd.VM)}}, nil
}

// serve starts the stand-ins of sub, prints a ready line for each to standard
// output, and closes them when ctx is done.
func serve(ctx context.Context, sub standInCommand) error {
	list, err := sub.standIns()
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	for _, named := range list {
		err = named.standIn.Start(named.addr)
		if err != nil {
			return err
		}
		defer func() { _ = named.standIn.Close() }()
	}
	mux.HandleFunc("/fault", func(w http.ResponseWriter, req *http.Request) { serveFault(list, w, req) })
	srv := &http.Server{Addr: sub.controlAddr(), Handler: mux, ReadHeaderTimeout: headerTimeout}
	if srv.Addr != "" {
		lis, lisErr := net.Listen("tcp", srv.Addr)
		if lisErr != nil {
			return eris.Wrap(lisErr, "listen on control address")
		}
		go func() { _ = srv.Serve(lis) }()
		defer func() { _ = srv.Close() }()
	}
	for _, named := range list {
		fmt.Printf("ready name=%s addr=%s\n", named.name, named.standIn.Addr())
	}
	logrus.WithField("stand_ins", len(list)).Info("serving")
	<-ctx.Done()
	logrus.Info("stopped")
	return nil
}

func serveFault(list []namedStandIn, w http.ResponseWriter, req *http.Request) {
	name := req.URL.Query().Get("name")
	for _, named := range list {
		if named.name == name || name == "" && len(list) == 1 {
			named.standIn.Control().ServeHTTP(w, req)
			return
		}
	}
	http.Error(w, fmt.Sprintf("no stand-in %q", name), http.StatusNotFound)
}
