package runner

import (
	"context"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"slices"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"eidertrail/internal/rollout"
)

// backupSuffix marks the old configuration, which is kept beside the file until the rollout is done.
const backupSuffix = ".before-rollout"

// configCheckTimeout bounds a program's check of a configuration.
const configCheckTimeout = 10 * time.Second

// Restarts reports whether a controller's transition restarts it, and why: for another program, or for a field of
// the configuration that a running controller does not take over at SIGHUP.
func (f *File) Restarts(controller Controller) (restart bool, reason string, err error) {
	if !f.sameProgram() {
		return true, "another program", nil
	}
	oldConfig, err := os.ReadFile(oldConfigPath(controller))
	if err != nil {
		return false, "", fmt.Errorf("rollout: controller %s: config: %w", controller.Name, err)
	}
	newConfig, err := os.ReadFile(controller.NewConfig)
	if err != nil {
		return false, "", fmt.Errorf("rollout: controller %s: new_config: %w", controller.Name, err)
	}
	if !gjson.ValidBytes(oldConfig) || !gjson.ValidBytes(newConfig) {
		return true, "one of the configurations is not valid JSON", nil
	}
	fields := fieldsForRestart(gjson.ParseBytes(oldConfig), gjson.ParseBytes(newConfig))
	if len(fields) > 0 {
		return true, strings.Join(fields, ", ") + " changes only at a restart", nil
	}
	return false, "all that changes is taken over at SIGHUP", nil
}

// fieldsForRestart lists the fields that differ and that a running controller does not take over.
func fieldsForRestart(oldConfig, newConfig gjson.Result) []string {
	var fields []string
	for _, name := range fieldNames(oldConfig, newConfig) {
		for _, path := range pathsForRestart(name) {
			if oldConfig.Get(path).Raw != newConfig.Get(path).Raw {
				fields = append(fields, path)
			}
		}
	}
	return fields
}

// fieldNames lists the top-level fields of either configuration, sorted.
func fieldNames(configs ...gjson.Result) []string {
	names := map[string]bool{}
	for _, config := range configs {
		config.ForEach(func(name, _ gjson.Result) bool {
			names[name.Str] = true
			return true
		})
	}
	return slices.Sorted(maps.Keys(names))
}

// pathsForRestart lists what of a top-level field is taken over only at a restart.
func pathsForRestart(name string) []string {
	switch name {
	case "bulletin", "known":
		return nil
	case "limits": // all but memory_mb
		return []string{"limits.cores", "limits.sockets"}
	default:
		return []string{name}
	}
}

// oldConfigPath is where a controller's old configuration is: beside the file once that has been changed.
func oldConfigPath(controller Controller) string {
	backup := controller.Config + backupSuffix
	if _, err := os.Stat(backup); err == nil {
		return backup
	}
	return controller.Config
}

// newConfigPath is where the new version's configuration is before it is put in place.
func newConfigPath(controller Controller) string {
	if controller.NewConfig != "" {
		return controller.NewConfig
	}
	return controller.Config
}

// checkConfig has a program check a configuration. Without this, a controller would be stopped for a program that does
// not start with its configuration.
func checkConfig(ctx context.Context, binary string, controller Controller, path string) error {
	ctx, cancel := context.WithTimeout(ctx, configCheckTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, binary, append([]string{"check"}, controller.Args...)...)
	command.Env = withConfig(path)
	if output, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("check: %w: %s", err, strings.TrimSpace(string(output)))
	}
	return nil
}

// installConfig puts a version's configuration in place. The old one is kept beside it.
func installConfig(controller Controller, version rollout.Version) error {
	if controller.NewConfig == "" {
		return nil
	}
	oldConfig, err := os.ReadFile(oldConfigPath(controller))
	if err != nil {
		return err
	}
	if version == rollout.VersionOld {
		return replaceFile(controller.Config, oldConfig)
	}
	if err := replaceFile(controller.Config+backupSuffix, oldConfig); err != nil {
		return err
	}
	newConfig, err := os.ReadFile(controller.NewConfig)
	if err != nil {
		return err
	}
	return replaceFile(controller.Config, newConfig)
}

// removeBackup removes the old configuration once the rollout is done.
func removeBackup(controller Controller) {
	_ = os.Remove(controller.Config + backupSuffix)
}
