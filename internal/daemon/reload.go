package daemon

import (
	"reflect"

	"eidertrail/internal/config"
	"eidertrail/internal/endpoint/endpointlist"
	"eidertrail/internal/routing"
	"eidertrail/internal/telemetry"
)

// reloadedFiles are what a reload has read: the configuration, and those operator files that can change.
type reloadedFiles struct {
	cfg         *config.Config
	callControl *config.CallControl // nil: off
	discovery   *config.Discovery   // nil: off
	router      *routing.Router     // nil: off
}

// reload reads the files again and takes over what can change while calls are established: the endpoint list's address,
// the known endpoints and the memory limit; of call control who may connect; discovery and routing. Nothing changes
// unless every file is good: a controller goes on with the last good ones.
func (d *Daemon) reload() {
	files, err := d.readReload()
	if err != nil {
		d.counters.Add(telemetry.BadReloads)
		d.log.Error().Err(err).Msg("configuration rejected")
		return
	}
	d.counters.Add(telemetry.Reloads)
	d.apply(files)
	d.logUnknown(files.cfg)
	if d.needsRestart(files.cfg) {
		d.log.Warn().Msg("name, listen, control, limits.sockets and settings change only at a restart")
	}
	d.log.Info().Str("bulletin", files.cfg.EndpointList).Int("memory_mb", files.cfg.MemoryMB).
		Int64("known", files.cfg.KnownEndpoints.Version).Msg("new configuration")
}

// readReload reads the files of the parts that are on.
func (d *Daemon) readReload() (*reloadedFiles, error) {
	files := &reloadedFiles{}
	var err error
	if files.cfg, err = d.options.readConfig(d.clock); err != nil {
		return nil, err
	}
	if d.sockets != nil {
		if files.callControl, err = config.LoadCallControl(d.options.CallControl); err != nil {
			return nil, err
		}
	}
	if d.sources != nil {
		if files.discovery, err = config.LoadDiscovery(d.options.Discovery); err != nil {
			return nil, err
		}
	}
	if d.options.Routing != "" { // for the settings in force: new ones come with a restart
		if files.router, _, err = d.options.readRouting(d.cfg); err != nil {
			return nil, err
		}
	}
	return files, nil
}

func (d *Daemon) apply(files *reloadedFiles) {
	d.memoryMB.Store(int64(files.cfg.MemoryMB))
	available := d.limits(d.handover.View())
	limitMemory(available)
	if files.callControl != nil {
		d.webSockets.Store(int64(files.callControl.MaxConnections))
		d.sockets.UpdateLimits(files.callControl.Origins, d.callControlConnections(available))
	}
	select { // one that was not taken yet is out of date
	case <-d.addressChanges:
	default:
	}
	d.addressChanges <- endpointlist.AddressChange{Address: files.cfg.EndpointList, Known: files.cfg.KnownEndpoints}
	if files.discovery != nil {
		d.sources.reload(files.discovery)
	}
	if files.router != nil {
		d.dispatcher.SetRouter(files.router)
	}
}

// needsRestart reports whether a configuration differs from the one at the start in what a reload cannot change.
func (d *Daemon) needsRestart(cfg *config.Config) bool {
	return cfg.Listen != d.cfg.Listen || cfg.Control != d.cfg.Control || cfg.Name != d.cfg.Name ||
		cfg.Sockets != d.cfg.Sockets ||
		!reflect.DeepEqual(cfg.Settings, d.cfg.Settings)
}
