def run(build, figures): pass
