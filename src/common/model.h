// The plain data that all layers share: jobs, machines, heartbeats, commands, teams.
#pragma once
#include "heartbeat.h"
#include "job_spec.h"
#include "machine_type.h"
#include "resources.h"
#include "task_command.h"
#include "team.h"
