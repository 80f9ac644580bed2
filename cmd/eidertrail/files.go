package main

import (
	"fmt"
	"os"

	"eidertrail/internal/clock"
	"eidertrail/internal/config"
	"eidertrail/internal/fleet/swim"
	"eidertrail/internal/routing"
)

// environment is what the daemon is started with: the configuration, and the operator files of the flags, "" for none.
type environment struct{ config, listen, callControl, discovery, routing, cluster string }

// environment is what the flags and the platform's variables name.
func (o options) environment() environment {
	return environment{
		config: os.Getenv("RELAY_CONFIG"), listen: os.Getenv("RELAY_LISTEN"), callControl: o.callControl,
		discovery: o.discovery, routing: o.routing, cluster: o.cluster,
	}
}

// load reads the configuration, as it is now.
func (e environment) load(now *clock.Clock) (*config.Config, error) {
	if e.config == "" {
		return nil, fmt.Errorf("config: RELAY_CONFIG: not set")
	}
	cfg, err := config.Load(e.config, now)
	if err == nil && e.listen != "" {
		cfg.Listen = e.listen
	}
	return cfg, err
}

// files are the operator files, nil for those that are not given.
type files struct {
	second *config.CallControl
	disc   *config.Discovery
	router *routing.Router
	fleet  *config.Cluster
	node   swim.Config // of the fleet
}

// files reads the operator files, and holds them against the configuration.
func (e environment) files(cfg *config.Config) (f files, err error) {
	var zones *config.Routing // its zone and the fleet's region are one word
	if e.callControl != "" {
		if f.second, err = config.LoadCallControl(e.callControl); err != nil {
			return f, err
		}
	}
	if e.discovery != "" {
		if f.disc, err = config.LoadDiscovery(e.discovery); err != nil {
			return f, err
		}
	}
	if e.routing != "" {
		if zones, err = config.LoadRouting(e.routing); err != nil {
			return f, err
		}
		if f.router, err = zones.Router(cfg.Settings.Nodes, cfg.Classes); err != nil {
			return f, err
		}
	}
	if e.cluster != "" {
		if f.fleet, err = config.LoadCluster(e.cluster); err == nil {
			f.node, err = f.fleet.Node(cfg)
		}
		if err == nil && zones != nil && f.fleet.Region != "" && f.fleet.Region != zones.Zone {
			err = fmt.Errorf("cluster: region: %q, but zone of the routing file is %q", f.fleet.Region, zones.Zone)
		}
	}
	return f, err
}

// router makes the routing file's router.
func (e environment) router(cfg *config.Config) (*routing.Router, error) {
	zones, err := config.LoadRouting(e.routing)
	if err != nil {
		return nil, err
	}
	return zones.Router(cfg.Settings.Nodes, cfg.Classes)
}
