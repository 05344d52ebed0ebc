package cmds

import (
	"fmt"
	"io/fs"
	"path/filepath"

	"github.com/samber/lo"

	"github.com/mimosalock/mimosalock/internal/conf/setup"
)

// settingsFolder is the name of folders that hold process settings.
const settingsFolder = "settings"

// checkSettings validates the settings files that settingsFiles finds for the
// paths. It prints all faults and returns the number of files.
func (e *environment) checkSettings(paths []string) (int, error) {
	var names []string
	for _, p := range paths {
		found, err := settingsFiles(p)
		if err != nil {
			return 0, fmt.Errorf("read settings: %w", err)
		}
		names = append(names, found...)
	}
	names = lo.Uniq(names)
	failed := false
	for _, name := range names {
		if err := checkSettingsFile(name); err != nil {
			e.printLine("%v", err)
			failed = true
		}
	}
	if failed {
		return len(names), errReported
	}
	return len(names), nil
}

// settingsFiles returns the files at or below a path whose folder is named settings.
func settingsFiles(path string) ([]string, error) {
	var names []string
	err := filepath.WalkDir(path, func(name string, d fs.DirEntry, err error) error {
		if err == nil && !d.IsDir() && filepath.Base(filepath.Dir(name)) == settingsFolder {
			names = append(names, name)
		}
		return err
	})
	return names, err
}

// checkSettingsFile validates one file, as an agent's if it names an endpoint or a
// service and as an entry's otherwise.
func checkSettingsFile(name string) error {
	s, file, err := setup.Load(name)
	if err != nil {
		return err
	}
	role := setup.RoleEntry
	if s.Endpoint != "" || s.Service != "" {
		role = setup.RoleAgent
	}
	return s.Validate(role, file)
}
