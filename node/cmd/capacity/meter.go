package main

import (
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

// processCPU returns the processor time that the process has used.
func processCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuSeconds returns the processor time that the process uses while f runs, in seconds.
func cpuSeconds(f func()) float64 {
	runtime.GC()
	began := processCPU()
	f()
	return (processCPU() - began).Seconds()
}

// liveBytes returns the size of the live heap and of the goroutine stacks in use.
func liveBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) + float64(m.StackInuse)
}

// retainedBytes returns the memory that is retained only by the value that make returns. It
// is the memory freed with the value, because other memory that make allocates, such as
// pools of encoders, stays live.
func retainedBytes(make func() any) float64 {
	v := make()
	with := liveBytes()
	runtime.KeepAlive(v)
	v = nil
	return with - liveBytes()
}

// Fit is a straight line that was fitted to measured points by least squares.
type Fit struct{ Base, Slope float64 }

// At returns the value of the line at x.
func (f Fit) At(x float64) float64 { return f.Base + f.Slope*x }

// leastSquares fits a line to the points. Points that share one x value give a line through
// the origin, and no points give the zero line.
func leastSquares(x, y []float64) Fit {
	var n, sx, sy, sxx, sxy float64
	for i := range x {
		n, sx, sy = n+1, sx+x[i], sy+y[i]
		sxx, sxy = sxx+x[i]*x[i], sxy+x[i]*y[i]
	}
	d := n*sxx - sx*sx
	if d == 0 {
		if sx == 0 {
			return Fit{}
		}
		return Fit{Slope: sy / sx}
	}
	slope := (n*sxy - sx*sy) / d
	return Fit{Base: (sy - slope*sx) / n, Slope: slope}
}

// byteCounter counts the bytes read and written on all connections of the listeners that
// share it.
type byteCounter struct{ bytes atomic.Int64 }

type countedListener struct {
	net.Listener
	counter *byteCounter
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.counter}, nil
}

type countedConn struct {
	net.Conn
	counter *byteCounter
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}
