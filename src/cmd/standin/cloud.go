package main

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/rosecroft/rosecroft/src/standin"
)

type cloudCommand struct {
	Name    string        `help:"Name of the platform." default:"cloud"`
	Listen  string        `help:"Address to serve on." required:""`
	Entries []string      `help:"Base URLs of the entries to which the instances announce themselves." required:""`
	Boot    time.Duration `help:"Time from the launch of an instance until its engine runs." default:"300ms"`
	Notice  time.Duration `help:"Time between an instance's notice and its termination." default:"5s"`
	Rate    int64         `help:"Bandwidth of the weight store in bytes per second." default:"2000000"`
	Loads   int           `help:"Number of concurrent loads that the weight store accepts." default:"2"`
	Weights int64         `help:"Size of each model version in bytes." default:"1000000"`
	Slots   int           `help:"Number of sequences that an engine runs concurrently." default:"16"`
}

// Run runs the stand-in until ctx is cancelled; its instances end with it.
func (c *cloudCommand) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen on %s: %w; choose a free port", c.Listen, err)
	}
	cloud := &standin.Cloud{
		Listener:     listener,
		Entries:      c.Entries,
		BootTime:     c.Boot,
		NoticePeriod: c.Notice,
		Slots:        c.Slots,
		Store: &standin.WeightStore{
			BytesPerSecond: c.Rate,
			MaxLoads:       c.Loads,
			VersionBytes:   c.Weights,
		},
	}
	return cloud.Run(ctx)
}
