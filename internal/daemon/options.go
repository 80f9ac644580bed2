package daemon

import (
	"fmt"
	"os"
	"time"

	"eidertrail/internal/clock"
	"eidertrail/internal/config"
	"eidertrail/internal/fleet/swim"
	"eidertrail/internal/routing"
)

// Options name the files that a daemon is started with; "" leaves the part of an operator file off.
type Options struct {
	Config      string // the platform's configuration
	Listen      string // overrides its listen address; "" does not
	Control     string // overrides its address for operators; "" does not
	CallControl string
	Discovery   string
	Routing     string
	Cluster     string
	// Temporary is the folder in which the processes of a controller find each other; "": they do not.
	Temporary string
	// OpenTimeout is how long an address that another process has is waited for; 0: listener.DefaultTimeout.
	OpenTimeout time.Duration
}

// FromEnvironment is o with what the platform's variables name.
func (o Options) FromEnvironment() Options {
	o.Config, o.Listen, o.Control = os.Getenv("RELAY_CONFIG"), os.Getenv("RELAY_LISTEN"), os.Getenv("RELAY_CONTROL")
	o.Temporary = os.TempDir()
	return o
}

// Check reads all files as Start does, and starts nothing.
func Check(o Options) error {
	cfg, err := o.readConfig(clock.New())
	if err != nil {
		return err
	}
	_, err = o.readOperatorFiles(cfg)
	return err
}

// readConfig reads the platform's configuration as it is now.
func (o Options) readConfig(now *clock.Clock) (*config.Config, error) {
	if o.Config == "" {
		return nil, &config.FieldError{File: config.PlatformFile, Field: "RELAY_CONFIG", Reason: "not set"}
	}
	cfg, err := config.Load(o.Config, now)
	if err != nil {
		return nil, err
	}
	if o.Listen != "" {
		cfg.Listen = o.Listen
	}
	if o.Control != "" {
		if err := config.CheckAddress(config.VariableControl, o.Control); err != nil {
			return nil, err
		}
		cfg.Control = o.Control
	}
	return cfg, nil
}

// operatorFiles are the operator files' settings, nil for those that are not given.
type operatorFiles struct {
	callControl *config.CallControl
	discovery   *config.Discovery
	router      *routing.Router
	cluster     *config.Cluster
	node        swim.Config // of the cluster
}

// readOperatorFiles reads the operator files and checks them against the configuration and each other.
func (o Options) readOperatorFiles(cfg *config.Config) (*operatorFiles, error) {
	files := &operatorFiles{}
	var err error
	if o.CallControl != "" {
		if files.callControl, err = config.LoadCallControl(o.CallControl); err != nil {
			return nil, err
		}
	}
	if o.Discovery != "" {
		if files.discovery, err = config.LoadDiscovery(o.Discovery); err != nil {
			return nil, err
		}
	}
	zone := ""
	if o.Routing != "" {
		if files.router, zone, err = o.readRouting(cfg); err != nil {
			return nil, err
		}
	}
	if o.Cluster != "" {
		if err = o.readCluster(files, cfg, zone); err != nil {
			return nil, err
		}
	}
	return files, nil
}

// readRouting reads the routing file: its router, and this controller's zone.
func (o Options) readRouting(cfg *config.Config) (*routing.Router, string, error) {
	zones, err := config.LoadRouting(o.Routing)
	if err != nil {
		return nil, "", err
	}
	router, err := zones.Router(cfg.Settings.Nodes, cfg.Classes)
	return router, zones.Zone, err
}

// readCluster reads the cluster file. Its region and the zone of the routing file, "" without one, are the same place.
func (o Options) readCluster(files *operatorFiles, cfg *config.Config, zone string) error {
	var err error
	if files.cluster, err = config.LoadCluster(o.Cluster); err != nil {
		return err
	}
	if files.node, err = files.cluster.Node(cfg); err != nil {
		return err
	}
	region := files.cluster.Region
	if o.Routing != "" && region != "" && region != zone {
		return &config.FieldError{
			File: config.ClusterFile, Field: "region",
			Reason: fmt.Sprintf("%q, but zone of the routing file is %q", region, zone),
		}
	}
	return nil
}
