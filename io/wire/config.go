package wire

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Default limits of a Pool.
const (
	defaultDialTimeout = 2 * time.Second
	defaultIOTimeout   = 10 * time.Second
	defaultIdleTimeout = 60 * time.Second
	defaultMaxIdle     = 64
	defaultMaxBody     = 16 << 20
)

// Config holds the limits of a Pool. A zero field takes its default.
type Config struct {
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// IOTimeout is the longest wait for the next byte of a response, and for a
	// write to make progress.
	IOTimeout time.Duration
	// IdleTimeout is the age at which an idle connection is not reused.
	IdleTimeout time.Duration
	// MaxIdle is the number of idle connections that are kept.
	MaxIdle int
	// AckTimeout is the time after which a connection ends whose peer doesn't
	// acknowledge bytes or, when it is idle, keep-alive probes. Zero leaves
	// this to the system.
	AckTimeout time.Duration
	// MaxBody is the largest response body of Do, in bytes.
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

// keepAliveProbes is the number of probes within an AckTimeout.
const keepAliveProbes = 2

// keepAlive returns the probes that find a dead idle connection within
// AckTimeout.
func (cfg Config) keepAlive() net.KeepAliveConfig {
	if cfg.AckTimeout <= 0 {
		return net.KeepAliveConfig{Enable: true}
	}
	interval := max(time.Second, cfg.AckTimeout/keepAliveProbes)
	return net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: keepAliveProbes}
}

// control sets AckTimeout on a socket.
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
