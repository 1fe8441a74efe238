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
	Entries []string      `help:"Base URLs that take the instances' announcements." required:""`
	Boot    time.Duration `help:"Time from a launch until the engine runs." default:"300ms"`
	Notice  time.Duration `help:"Time between an instance's notice and its end." default:"5s"`
	Rate    int64         `help:"Bytes that the weight store passes on in a second." default:"2000000"`
	Loads   int           `help:"Loads at once that the weight store takes." default:"2"`
	Weights int64         `help:"Bytes of each model version." default:"1000000"`
	Slots   int           `help:"Sequences that an engine runs at once." default:"16"`
}

// Run plays the platform until it is told to stop; its instances end with it.
func (c *cloudCommand) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen on %s: %w; choose a free port", c.Listen, err)
	}
	cloud := &standin.Cloud{
		Listener: listener,
		Entries:  c.Entries,
		Boot:     c.Boot,
		Notice:   c.Notice,
		Slots:    c.Slots,
		Store: &standin.WeightStore{
			BytesPerSecond: c.Rate,
			LoadsAtOnce:    c.Loads,
			Bytes:          c.Weights,
		},
	}
	return cloud.Run(ctx)
}
