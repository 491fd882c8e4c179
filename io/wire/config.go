package wire

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Defaults of the fields of Config.
const (
	defaultDialTimeout = 2 * time.Second
	defaultIOTimeout   = 10 * time.Second
	defaultIdleTimeout = 60 * time.Second
	defaultMaxIdle     = 64
	defaultMaxBody     = 16 << 20
)

// Config holds the timeouts and limits of a Pool. Fields that are not positive
// take their defaults.
type Config struct {
	// Dial opens connections. Nil selects a net.Dialer with the timeouts of the Config.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// DialTimeout is the timeout for opening a connection.
	DialTimeout time.Duration
	// IOTimeout is the timeout of each read and each write: the longest wait for
	// the next bytes of a response, and for a write to complete.
	IOTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is no longer reused.
	IdleTimeout time.Duration
	// MaxIdle is the maximum number of idle connections.
	MaxIdle int
	// AckTimeout is the time after which a connection is closed whose peer does
	// not acknowledge sent data or, if it is idle, keep-alive probes. It has no
	// default: zero leaves the timeout to the operating system.
	AckTimeout time.Duration
	// MaxBody is the maximum size of a response body for Pool.Do, in bytes.
	MaxBody int
}

func (cfg Config) withDefaults() Config {
	cfg.DialTimeout = orDefault(cfg.DialTimeout, defaultDialTimeout)
	cfg.IOTimeout = orDefault(cfg.IOTimeout, defaultIOTimeout)
	cfg.IdleTimeout = orDefault(cfg.IdleTimeout, defaultIdleTimeout)
	cfg.MaxIdle = orDefault(cfg.MaxIdle, defaultMaxIdle)
	cfg.MaxBody = orDefault(cfg.MaxBody, defaultMaxBody)
	return cfg
}

func orDefault[T int | time.Duration](val, def T) T {
	if val <= 0 {
		return def
	}
	return val
}

// dial opens a connection to addr.
func (cfg Config) dial(ctx context.Context, addr string) (net.Conn, error) {
	if cfg.Dial == nil {
		dialer := net.Dialer{Timeout: cfg.DialTimeout, KeepAliveConfig: cfg.keepAlive(), Control: cfg.control}
		return dialer.DialContext(ctx, "tcp", addr)
	}
	ctx, cancel := context.WithTimeout(ctx, cfg.DialTimeout)
	defer cancel()
	return cfg.Dial(ctx, "tcp", addr)
}

// keepAliveProbes is the number of keep-alive probes within AckTimeout.
const keepAliveProbes = 2

// keepAlive returns the keep-alive configuration that detects a dead idle
// connection after about AckTimeout.
func (cfg Config) keepAlive() net.KeepAliveConfig {
	if cfg.AckTimeout <= 0 {
		return net.KeepAliveConfig{Enable: true}
	}
	interval := max(time.Second, cfg.AckTimeout/keepAliveProbes)
	return net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: keepAliveProbes}
}

// control sets AckTimeout as TCP_USER_TIMEOUT of a socket.
func (cfg Config) control(_, _ string, raw syscall.RawConn) error {
	if cfg.AckTimeout <= 0 {
		return nil
	}
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(cfg.AckTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
