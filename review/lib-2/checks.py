"""Checks of rules, by what the stand-ins saw."""

LEASE_S = 3.0


def one(platform):
    """ONE: orders for one machine come from holders in touch that take turns within `leaseMs`, or from two holders with one token."""
    last, tokens = {}, {}
    for order in platform.machines.orders:
        holder, machine = order["holder"], order["machine"]
        if tokens.setdefault((machine, order["token"]), holder) != holder:
            return f"{machine} got orders from two holders with token {order['token']}"
        before = last.get(machine)
        last[machine] = order
        if before is None or before["holder"] == holder or order["at"] - before["at"] >= LEASE_S:
            continue
        holders = [platform.node(o["holder"]) for o in (before, order)]
        # The earlier holder must be in touch still when the later one gives its order: one that is being stopped is not.
        if holders[0].in_touch(before["at"]) and all(holder.in_touch(order["at"]) for holder in holders):
            return (f"{machine} got an order from {before['holder']} (token {before['token']}) at {before['at']:.3f} s and one "
                    f"from {holder} (token {order['token']}) at {order['at']:.3f} s; both are in touch")
    return None


def gang(platform):
    """GANG: a run ends `alone` while its sender is in touch and no disruption is near."""
    for run in platform.runs:
        if run["how"] != "alone":
            continue
        began = next(r for r in platform.runs if r["how"] == "begins" and (r["task"], r["attempt"]) == (run["task"], run["attempt"]))
        sender = platform.sender(began["token"])
        calm = all(node.in_touch(run["at"], contact_s=6.0) for node in platform.nodes)
        if sender and sender.in_touch(began["at"]) and sender.in_touch(run["at"]) and calm:
            return (f"{run['task']} run {run['attempt']} on {run['minion'].id}, begun at {began['at']:.3f} s by {sender.name}, "
                    f"ended alone at {run['at']:.3f} s; all machines are in touch")
    return None
