"""Exercises all Job operations of the unmodified Python client library against one controller."""
import sys
import time

import yaml
from kubernetes import client, utils, watch
from kubernetes.client.exceptions import ApiException

TWO_DOCUMENTS = """
apiVersion: batch/v1
kind: Job
metadata: {name: from-file, labels: {app: paint}}
spec:
  completions: 2
  parallelism: 2
  completionMode: Indexed
  template:
    spec: &pod
      restartPolicy: Never
      containers:
      - name: main
        image: example/paint:1
        resources: {requests: {cpu: 1500m, memory: 1Gi}}
---
apiVersion: batch/v1
kind: Job
metadata: {name: from-file-too, namespace: second}
spec:
  template:
    spec:
      restartPolicy: OnFailure
      containers:
      - {name: main, image: "example/scan:2", resources: {limits: {cpu: "1", memory: 1e9}}}
"""


def job(name, tasks=1, **labels):
    container = client.V1Container(
        name="main", image="example/scan:2",
        resources=client.V1ResourceRequirements(requests={"cpu": "500m", "memory": "512Mi"}))
    pod = client.V1PodSpec(restart_policy="Never", containers=[container], priority_class_name="high")
    return client.V1Job(
        api_version="batch/v1", kind="Job", metadata=client.V1ObjectMeta(name=name, labels=labels),
        spec=client.V1JobSpec(completions=tasks, parallelism=tasks,
                              template=client.V1PodTemplateSpec(spec=pod)))


def expect_error(code, reason, call, *args, **kwargs):
    try:
        call(*args, **kwargs)
    except ApiException as e:
        body = yaml.safe_load(e.body)
        assert (e.status, body["reason"], body["kind"]) == (code, reason, "Status"), (e.status, body)
        return body
    raise AssertionError(f"{reason} was expected")


def main(port):
    config = client.Configuration(host=f"http://127.0.0.1:{port}")
    api = client.ApiClient(config)
    batch = client.BatchV1Api(api)

    assert [g.name for g in client.ApisApi(api).get_api_versions().groups] == ["batch"]
    assert {r.name for r in batch.get_api_resources().resources} == {"jobs"}
    assert client.VersionApi(api).get_code().major == "1"

    first = batch.create_namespaced_job("default", job("one", 3, app="scan"))
    assert first.metadata.uid and first.metadata.creation_timestamp and first.status.active == 3
    assert int(first.metadata.resource_version) > 0
    expect_error(409, "AlreadyExists", batch.create_namespaced_job, "default", job("one"))
    assert batch.create_namespaced_job("second", job("one")).metadata.uid != first.metadata.uid

    dry = batch.create_namespaced_job("default", job("dry"), dry_run="All")
    assert dry.metadata.name == "dry"
    expect_error(404, "NotFound", batch.read_namespaced_job, "dry", "default")

    named = job(None)
    named.metadata.generate_name = "scan-"
    generated = batch.create_namespaced_job("default", named).metadata.name
    assert generated.startswith("scan-") and len(generated) == 10

    utils.create_from_yaml(api, yaml_objects=list(yaml.safe_load_all(TWO_DOCUMENTS)))
    names = lambda ns, **kw: sorted(j.metadata.name for j in batch.list_namespaced_job(ns, **kw).items)
    assert names("default") == sorted(["one", generated, "from-file"])
    assert names("second") == ["from-file-too", "one"]
    assert names("default", label_selector="app in (scan, paint),app!=paint") == ["one"]
    assert names("default", field_selector="metadata.name=from-file") == ["from-file"]
    page = batch.list_namespaced_job("default", limit=2)
    rest = batch.list_namespaced_job("default", limit=2, _continue=page.metadata._continue)
    assert len(page.items) == 2 and len(rest.items) == 1 and not rest.metadata._continue

    bad = job("bad")
    bad.spec.backoff_limit = 3
    bad.spec.template.spec.containers[0].command = ["sh"]
    bad.spec.ttl_seconds_after_finished = 5
    causes = expect_error(422, "Invalid", batch.create_namespaced_job, "default", bad)["details"]["causes"]
    fields = {c["field"] for c in causes}
    assert fields == {"spec.backoffLimit", "spec.ttlSecondsAfterFinished",
                      "spec.template.spec.containers[0].command"}, fields
    expect_error(403, "Forbidden", batch.create_namespaced_job, "elsewhere", job("one"))

    seen = int(first.metadata.resource_version)
    while True:  # the test that started this process kills it after a timeout
        now = batch.read_namespaced_job("one", "default")
        assert int(now.metadata.resource_version) >= seen, "older than an earlier response"
        seen = int(now.metadata.resource_version)
        if now.status.conditions and now.status.conditions[0].type == "Complete":
            break
        time.sleep(0.1)
    assert now.status.succeeded == 3 and now.status.completion_time and now.metadata.uid == first.metadata.uid

    types, done = [], set()
    for event in watch.Watch().stream(batch.list_namespaced_job, "second", timeout_seconds=50):
        types.append(event["type"])
        job_seen = event["object"]
        if any(c.type == "Complete" for c in job_seen.status.conditions or []):
            done.add(job_seen.metadata.name)
        if done == {"one", "from-file-too"}:
            break
    assert done and types[:2] == ["ADDED", "ADDED"], (done, types)

    batch.delete_namespaced_job("one", "default", propagation_policy="Background")
    expect_error(404, "NotFound", batch.read_namespaced_job, "one", "default")
    expect_error(404, "NotFound", batch.delete_namespaced_job, "one", "default")
    again = batch.create_namespaced_job("default", job("one"))
    assert again.metadata.uid != first.metadata.uid and again.status.succeeded == 0
    stale = client.V1DeleteOptions(preconditions=client.V1Preconditions(uid=first.metadata.uid))
    expect_error(409, "Conflict", batch.delete_namespaced_job, "one", "default", body=stale)
    batch.delete_namespaced_job("one", "default")


main(sys.argv[1])
