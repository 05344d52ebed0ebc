package cmds

import (
	"fmt"
	"io/fs"
	"path/filepath"

	"github.com/samber/lo"

	"github.com/mimosalock/mimosalock/internal/conf/setup"
)

// settingsFolder holds the settings of processes beside service files.
const settingsFolder = "settings"

// checkSettings validates the process settings among the paths and below the
// named folders, prints all faults and returns the number of files.
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
	faulty := false
	for _, name := range names {
		if err := checkSettingsFile(name); err != nil {
			e.printLine("%v", err)
			faulty = true
		}
	}
	if faulty {
		return len(names), errReported
	}
	return len(names), nil
}

// settingsFiles returns the files of folders named settings, at or below a path.
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

// checkSettingsFile validates one file. Settings that name an endpoint are an
// agent's.
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
