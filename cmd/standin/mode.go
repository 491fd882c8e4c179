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

// server is a stand-in.
type server interface {
	Start(addr string) error
	Addr() string
	Close() error
	Control() http.Handler
}

// unit is a stand-in with the name by which its control is called.
type unit struct {
	name string
	addr string
	srv  server
}

// mode builds the stand-ins of a mode of the program.
type mode interface {
	units() ([]unit, error)
	control() string
}

// common are the flags of every mode.
type common struct {
	Control string `long:"control" value-name:"HOST:PORT" description:"Also serve the faults at POST /fault?name=NAME here, where a dead stand-in can be reached"`
}

func (com common) control() string { return com.Control }

// Execute is not called: the parser's handler serves the mode.
func (com common) Execute([]string) error { return nil }

type logCommand struct {
	common
	Addr      string `long:"addr" value-name:"HOST:PORT" required:"yes" description:"Address to listen on"`
	Retention int    `long:"retention" value-name:"N" description:"Keep only the N newest entries"`
}

func (cmd *logCommand) units() ([]unit, error) {
	log := stand.NewLog()
	log.SetFault(stand.LogFault{Retention: cmd.Retention})
	return []unit{{name: "log", addr: cmd.Addr, srv: log}}, nil
}

type vmsCommand struct {
	common
	Addr string `long:"addr" value-name:"HOST:PORT" required:"yes" description:"Address to listen on"`
	File string `long:"file" value-name:"FILE" description:"JSON file with the VMs"`
}

func (cmd *vmsCommand) units() ([]unit, error) {
	var lst stand.VMList
	if cmd.File != "" {
		raw, err := os.ReadFile(cmd.File)
		if err != nil {
			return nil, eris.Wrap(err, "list of VMs")
		}
		err = json.Unmarshal(raw, &lst)
		if err != nil {
			return nil, eris.Wrapf(err, "list of VMs in %s", cmd.File)
		}
	}
	return []unit{{name: "vms", addr: cmd.Addr, srv: stand.NewVMs(lst.VMs...)}}, nil
}

type weightsCommand struct {
	common
	Addr string  `long:"addr" value-name:"HOST:PORT" required:"yes" description:"Address to listen on"`
	Rate float64 `long:"rate" value-name:"N" description:"Fetches a second, without limit if zero"`
}

func (cmd *weightsCommand) units() ([]unit, error) {
	return []unit{{name: "weights", addr: cmd.Addr, srv: stand.NewWeights(cmd.Rate)}}, nil
}

// engineFlags are the flags of an engine.
type engineFlags struct {
	Fencing   bool          `long:"fencing" description:"Refuse orders older than the last one"`
	LoadTime  time.Duration `long:"load-time" value-name:"TIME" default:"1s" description:"Time that a load takes"`
	TokenTime time.Duration `long:"token-time" value-name:"TIME" default:"5ms" description:"Time that a token takes"`
	Slots     int           `long:"slots" value-name:"N" default:"64" description:"Requests that run at once"`
	Weights   string        `long:"weights" value-name:"HOST:PORT" description:"Address of the weight store"`
}

func (flg engineFlags) engine(vm string) *stand.Engine {
	return stand.NewEngine(stand.EngineConfig{
		VM:        core.VMName(vm),
		Fencing:   flg.Fencing,
		LoadTime:  flg.LoadTime,
		TokenTime: flg.TokenTime,
		Slots:     flg.Slots,
		Weights:   flg.Weights,
	})
}

type engineCommand struct {
	common
	engineFlags
	Addr string `long:"addr" value-name:"HOST:PORT" required:"yes" description:"Address to listen on"`
	VM   string `long:"vm" value-name:"NAME" required:"yes" description:"Name of the VM"`
}

func (cmd *engineCommand) units() ([]unit, error) {
	return []unit{{name: cmd.VM, addr: cmd.Addr, srv: cmd.engine(cmd.VM)}}, nil
}

type enginesCommand struct {
	common
	engineFlags
	Count    int    `long:"count" value-name:"N" required:"yes" description:"Number of engines"`
	Host     string `long:"host" value-name:"HOST" default:"127.0.0.1" description:"Address to listen on"`
	BasePort int    `long:"base-port" value-name:"P" required:"yes" description:"Port of the first engine"`
	Prefix   string `long:"prefix" value-name:"NAME" default:"vm" description:"The VMs are called NAME-0, NAME-1 and so on"`
}

func (cmd *enginesCommand) units() ([]unit, error) {
	var out []unit
	for idx := range cmd.Count {
		vm := fmt.Sprintf("%s-%d", cmd.Prefix, idx)
		addr := net.JoinHostPort(cmd.Host, strconv.Itoa(cmd.BasePort+idx))
		out = append(out, unit{name: vm, addr: addr, srv: cmd.engine(vm)})
	}
	return out, nil
}

type plainCommand struct {
	common
	Addr string `long:"addr" value-name:"HOST:PORT" required:"yes" description:"Address to listen on"`
	VM   string `long:"vm" value-name:"NAME" required:"yes" description:"Name of the VM"`
}

func (cmd *plainCommand) units() ([]unit, error) {
	return []unit{{name: cmd.VM, addr: cmd.Addr, srv: stand.NewPlain(cmd.VM)}}, nil
}

// serve starts the units of mod, says so on standard output, and closes them
// when ctx is done.
func serve(ctx context.Context, mod mode) error {
	uns, err := mod.units()
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	for _, uni := range uns {
		err = uni.srv.Start(uni.addr)
		if err != nil {
			return err
		}
		defer func() { _ = uni.srv.Close() }()
	}
	mux.HandleFunc("/fault", func(wri http.ResponseWriter, req *http.Request) { serveControl(uns, wri, req) })
	ctl := &http.Server{Addr: mod.control(), Handler: mux, ReadHeaderTimeout: headerTimeout}
	if ctl.Addr != "" {
		lis, lisErr := net.Listen("tcp", ctl.Addr)
		if lisErr != nil {
			return eris.Wrap(lisErr, "control can't listen")
		}
		go func() { _ = ctl.Serve(lis) }()
		defer func() { _ = ctl.Close() }()
	}
	for _, uni := range uns {
		fmt.Printf("ready name=%s addr=%s\n", uni.name, uni.srv.Addr())
	}
	logrus.WithField("stand_ins", len(uns)).Info("serving")
	<-ctx.Done()
	logrus.Info("stopped")
	return nil
}

func serveControl(uns []unit, wri http.ResponseWriter, req *http.Request) {
	name := req.URL.Query().Get("name")
	for _, uni := range uns {
		if uni.name == name || name == "" && len(uns) == 1 {
			uni.srv.Control().ServeHTTP(wri, req)
			return
		}
	}
	http.Error(wri, fmt.Sprintf("no stand-in %q", name), http.StatusNotFound)
}
