"""Tests of control daemons that are killed, are frozen or lose their disk."""

import shutil
import threading

import pytest

from testbed import DeploymentError, Stream

OPERATION = "--op-id=operation-1"
TENANT = ("put", "tenant", "press", "--weight=2.0")


def tenant(deployment):
    return deployment.query("get", "tenant/press")


def kill_leader(deployment):
    leader = deployment.wait_until("a leader", deployment.leader)
    deployment.processes.kill(leader)
    return leader


def control_index(host):
    return int(host.rpartition("-")[2]) - 1


def wait_other_leader(deployment, old):
    def other():
        leader = deployment.leader()
        return leader if leader != old else None

    return deployment.wait_until("another leader", other)


@pytest.mark.timeout(240)
def test_change_survives_its_leader(deployment):
    """Guards against losing or repeating an accepted change when its leader fails."""
    first = deployment.ctl(*TENANT, OPERATION)
    old = kill_leader(deployment)
    wait_other_leader(deployment, old)
    again = deployment.ctl(*TENANT, OPERATION)
    assert again == first
    assert tenant(deployment)["weight"] == 2.0
    deployment.start_control(control_index(old))


@pytest.mark.timeout(240)
def test_frozen_leader_changes_nothing_afterwards(deployment):
    """Guards against stale reads from a leader that was frozen past its lease."""
    old = deployment.wait_until("a leader", deployment.leader)
    deployment.processes.freeze(old)
    wait_other_leader(deployment, old)
    deployment.ctl(*TENANT, OPERATION)
    deployment.processes.resume(old)
    assert tenant(deployment)["weight"] == 2.0
    address = deployment.operators[control_index(old)]

    def follows_new_leader():
        answer = deployment.status().get(address)
        return answer and not answer["is_leader"] and answer["leader"]

    assert deployment.wait_until("the old leader to follow", follows_new_leader) != old


@pytest.mark.timeout(300)
def test_second_loss_after_a_repair_loses_nothing(deployment, tmp_path):
    """Guards against counting a new voter before it has all acknowledged changes."""
    deployment.ctl(*TENANT, OPERATION)
    leader = deployment.wait_until("a leader", deployment.leader)
    followers = [n for n in range(3) if n != control_index(leader)]
    first, second = followers
    for lost in (first, second):
        replace_disk(deployment, tmp_path, lost)
    assert tenant(deployment)["weight"] == 2.0
    deployment.ctl("put", "tenant", "press", "--weight=3.0")
    assert tenant(deployment)["weight"] == 3.0


def replace_disk(deployment, folder, number):
    """Kill a voter, delete its data, and add it again as a new member."""
    name = f"control-{number + 1}"
    deployment.processes.kill(name)
    shutil.rmtree(folder / f"data-{name}")
    deployment.start_control(number)
    address = deployment.operators[number]

    def disk():
        status = deployment.status().get(address)
        return status and status.get("disk_id")

    disk_id = deployment.wait_until("the new disk identity", disk)
    member = deployment.query("get", f"member/{name}")
    assert disk_id != member["disk_id"]
    deployment.ctl("remove-member", name)
    deployment.ctl(
        "add-learner",
        name,
        f"--address={member['address']}",
        f"--domain={member['domain']}",
        f"--disk-id={disk_id}",
    )

    def promoted():
        try:
            return deployment.ctl("promote-learner", name)
        except DeploymentError as error:
            if "caught up" in str(error) or "does not hold" in str(error):
                return None
            raise AssertionError(str(error)) from error

    deployment.wait_until("the learner to catch up", promoted)


@pytest.mark.timeout(240)
def test_entries_refuse_requests_without_control(deployment):
    """Guards against routing by a configuration that may be out of date."""
    names = [f"control-{n + 1}" for n in range(3)]
    for name in names:
        deployment.processes.freeze(name)
    address = deployment.entries[0]

    def refused():
        try:
            Stream(address, "short question", 2).read_to_end()
        except DeploymentError as error:
            return str(error)
        return None

    answer = deployment.wait_until("a refusal", refused)
    assert '"lease_expired"' in answer and '"ran":"no"' in answer
    for name in names:
        deployment.processes.resume(name)
    deployment.wait_until("answers again", lambda: refused() is None)


@pytest.mark.timeout(240)
def test_concurrent_changes_have_one_winner(deployment):
    """Guards against changes based on one version that overwrite each other."""
    deployment.ctl(*TENANT, OPERATION)
    base = tenant(deployment)["version"]
    outcomes = []

    def change(weight):
        try:
            deployment.ctl(
                "put",
                "tenant",
                "press",
                f"--weight={weight}",
                f"--base-version={base}",
                reason=f"weight {weight}",
            )
            outcomes.append(weight)
        except DeploymentError as error:
            assert "conflict" in str(error)

    threads = [threading.Thread(target=change, args=(w,)) for w in (3.0, 4.0, 5.0)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(outcomes) == 1
    assert tenant(deployment)["weight"] == outcomes[0]
    assert deployment.query("record", "--subject=tenant/press")


@pytest.mark.timeout(240)
def test_group_restart_keeps_accepted_changes(deployment):
    """Guards against acknowledging changes before they are on disk."""
    for number in range(20):
        deployment.ctl("put", "tenant", "press", f"--weight={float(number + 1)}")
    for number in range(3):
        deployment.processes.kill(f"control-{number + 1}")
    for number in range(3):
        deployment.start_control(number)
    deployment.wait_until("a leader", deployment.leader)
    assert tenant(deployment)["weight"] == 20.0
