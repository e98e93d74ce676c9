package settings

import (
	"slices"
	"strings"

	"github.com/mangodrum/mangodrum/internal/strictyaml"
	"github.com/mangodrum/mangodrum/structs"
)

// TeamImpact describes how the effective settings of a team change.
type TeamImpact struct {
	Team   structs.TeamID `json:"team"`
	Fields []Change       `json:"fields,omitempty"` // changes of effective values; Path is the team
	Jobs   int            `json:"jobs"`             // number of jobs of the team
}

// Impact describes which teams, classes and jobs a change affects.
type Impact struct {
	Changes []Change            `json:"changes,omitempty"`
	Teams   []TeamImpact        `json:"teams,omitempty"`
	Classes []structs.ClassName `json:"classes,omitempty"`
	Jobs    []structs.JobID     `json:"jobs,omitempty"` // jobs of the affected teams and classes
	// UnknownShards are shards whose jobs could not be listed, so that Jobs lacks
	// them.
	UnknownShards []structs.ShardID `json:"unknown_shards,omitempty"`
}

// ImpactOf compares the effective settings of all teams in two trees. A team
// that inherits a changed field is affected; a team that overrides it is not.
// A nil old tree is empty.
func ImpactOf(old, new *Tree, jobs []structs.Job) Impact {
	changes := Diff(old, new)
	impact := Impact{Changes: changes, Classes: changedClasses(changes)}
	changed := map[structs.TeamID]bool{}
	for _, change := range changes {
		changed[structs.TeamID(change.Path)] = true
	}
	jobsPerTeam := map[structs.TeamID]int{}
	for _, job := range jobs {
		jobsPerTeam[job.Team]++
	}
	affectedTeams := map[structs.TeamID]bool{}
	for _, team := range allTeams(old, new) {
		if !slices.ContainsFunc(pathsFromRoot(team), func(path structs.TeamID) bool { return changed[path] }) {
			continue // neither the team's branch nor an ancestor changed
		}
		fields := diffEffective(team, old, new)
		if len(fields) == 0 {
			continue
		}
		affectedTeams[team] = true
		impact.Teams = append(impact.Teams, TeamImpact{Team: team, Fields: fields, Jobs: jobsPerTeam[team]})
	}
	for _, job := range jobs {
		if affectedTeams[job.Team] || slices.Contains(impact.Classes, job.Class) {
			impact.Jobs = append(impact.Jobs, job.ID)
		}
	}
	slices.Sort(impact.Jobs)
	return impact
}

func changedClasses(changes []Change) []structs.ClassName {
	var names []structs.ClassName
	for _, change := range changes {
		if name, ok := strings.CutPrefix(change.Path, classPrefix); ok {
			names = append(names, structs.ClassName(name))
		}
	}
	return slices.Compact(names)
}

func allTeams(trees ...*Tree) []structs.TeamID {
	var teams []structs.TeamID
	for _, tree := range trees {
		if tree != nil {
			teams = append(teams, tree.Teams()...)
		}
	}
	slices.Sort(teams)
	return slices.Compact(teams)
}

func diffEffective(team structs.TeamID, old, new *Tree) []Change {
	before, after := resolvedValues(old, team), resolvedValues(new, team)
	var changes []Change
	for _, info := range setFields {
		if before[info.Field] != after[info.Field] {
			changes = append(changes, Change{
				Path: string(team), Field: info.Field, Old: before[info.Field], New: after[info.Field],
			})
		}
	}
	return changes
}

var setFields = strictyaml.Describe(Overrides{})

func resolvedValues(t *Tree, team structs.TeamID) map[string]string {
	values := map[string]string{}
	if t == nil {
		return values
	}
	for _, field := range t.ResolveFields(team) {
		values[field.Field] = field.Value
	}
	return values
}

// ResolvedField is the effective value of one field of a branch and the
// branch that sets it, or "default".
type ResolvedField struct {
	Field string `json:"field"`
	Value string `json:"value"`
	From  string `json:"from"`
}

// ResolveFields returns the effective fields of the branch in the order of
// the reference, or nil if the branch does not exist.
func (t *Tree) ResolveFields(path structs.TeamID) []ResolvedField {
	if _, ok := t.find(path); !ok {
		return nil
	}
	values := map[string]ResolvedField{}
	record := func(from string, set Overrides) {
		for _, entry := range strictyaml.Flatten(set) {
			values[entry.Field] = ResolvedField{Field: entry.Field, Value: entry.Text, From: from}
		}
	}
	record("default", Defaults())
	for _, ancestor := range pathsFromRoot(path) {
		i, ok := t.find(ancestor)
		if !ok {
			continue
		}
		set := t.Branches[i].Overrides
		if ancestor != path {
			set.Quota.Guaranteed = Amounts{} // not inherited
		}
		record(string(ancestor), set)
	}
	var fields []ResolvedField
	for _, info := range setFields {
		if field, ok := values[info.Field]; ok {
			fields = append(fields, field)
		}
	}
	return fields
}
