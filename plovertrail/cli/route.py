"""`plovertrail route FILE METHOD URL`"""

from __future__ import annotations

import sys

import click

from plovertrail.cli.files import load_or_exit
from plovertrail.config.classes import EFFECTS
from plovertrail.decisions.requests import (
    RequestRejectedError,
    client_of,
    read_head,
    route_request,
    template_values,
    tenant_of,
)


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.argument("method")
@click.argument("url")
@click.option("-H", "--header", "headers", multiple=True, help="A header of the request, as 'name: value'.")
@click.option("--listener", default="", help="The listener that it comes to; else no route that names one.")
@click.option("--from", "address", default="192.0.2.1", show_default=True, help="The client's address.")
def route(file: str, method: str, url: str, headers: tuple[str, ...], listener: str, address: str) -> None:
    """Say which route of FILE takes a request, what becomes of it, and why each other route lost. Sends
    nothing. Exits with 1 if no route takes it."""
    setup = load_or_exit(file)
    found: dict[bytes, bytes] = {}
    hosts: list[bytes] = []
    for text in headers:
        name, colon, value = text.partition(":")
        if not colon or not name.strip():
            raise click.BadParameter(f"{text!r} is no header: write 'name: value'")
        key, plain = name.strip().lower().encode("latin-1"), value.strip().encode("latin-1")
        found[key] = found[key] + b", " + plain if key in found else plain
        if key == b"host":
            hosts.append(plain)
    try:
        version = "1.1" if hosts else "1.0"
        head, path, authority = read_head(method.encode(), url.encode(), version, hosts, found, listener)
    except RequestRejectedError as away:
        click.echo(f"answered {away.status}: {away.why}")
        sys.exit(1)
    click.echo(f"request   {head.method} host {head.host or '(none)'} path {head.path}")
    taken = False
    try:
        routed = route_request(setup.routes, head, path, authority)
    except RequestRejectedError as away:
        allowed = f" (Allow: {', '.join(sorted(away.allowed))})" if away.allowed else ""
        click.echo(f"answered {away.status}: {away.why}{allowed}")
    else:
        taken = True
        won = routed.route
        if won.fixed_response is not None:
            told = template_values(head, path, authority, url.encode(), address, address, b"", 0, won)
            where = (
                won.fixed_response.location.render(told) if won.fixed_response.location is not None else ""
            )
            click.echo(f"route     {won.name}\nanswers   {won.fixed_response.status} {where}".rstrip())
            return
        effects = {ours: word for word, ours in EFFECTS.items()}
        kind = setup.classes[setup.class_index(won.class_name)]
        deadline_ms = (won.deadline_us or kind.deadline_us) / 1000
        click.echo(f"route     {won.name}")
        click.echo(f"pools     {', then '.join(won.pools)}")
        click.echo(f"class     {kind.name} ({effects[kind.effect]}), deadline {deadline_ms:g} ms")
        click.echo(f"to server {head.method} {routed.target.decode('latin-1')}")
        if won.name in setup.hooked:
            hooked = setup.hooked[won.name]
            policy = "goes on" if hooked.passes else "fails"
            click.echo(f"hooks     {', then '.join(hooked.hooks)} (without one it {policy}; not asked here)")
        for name_, value_ in won.set_headers:
            click.echo(f"          {name_.decode()}: {value_.decode()}")
        for name_, template in won.templated_headers:
            click.echo(f"          {name_.decode()}: {template.text}")
        for name_ in sorted(won.remove_headers):
            click.echo(f"          without {name_.decode()}")
        tenant = tenant_of(won, head, address)
        click.echo(f"tenant    {tenant.decode('latin-1') or '(none)'}")
        click.echo(f"client    {client_of(won, head, address, b'') or '(none)'}")
        if won.name in setup.limited:
            click.echo(f"limiters  {', '.join(setup.limited[won.name])} (nothing is counted here)")
    click.echo("others")
    for other, miss in setup.routes.explain(head):
        if miss is not None:
            click.echo(f"          {other.name}: {miss.value}")
    if not taken:
        sys.exit(1)
