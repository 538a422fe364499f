package bvfront

import (
	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvshare"
)

// maxCountedWorkspaces bounds the workspaces that have a counter of their own.
const maxCountedWorkspaces = 64

// reportShare logs and counts a rejection that the share of the workspace decided.
func (call *call) reportShare(standing bvshare.Standing) {
	if !standing.Over {
		return
	}
	call.front.parts.Counters.Add("share_rejections", 1)
	call.front.parts.Counters.CountLimited("share_rejections_by_workspace", call.workspaceName(), maxCountedWorkspaces)
	call.front.parts.Log.WithFields(logrus.Fields{
		"request":   call.metadata.ID,
		"workspace": call.workspaceName(),
		"share":     standing.Share,
		"use":       standing.Use,
		"demand":    standing.Asked,
		"age_ms":    int64(standing.Age),
	}).Warn("workspace is above its share")
}
